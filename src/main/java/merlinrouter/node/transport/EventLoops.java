package merlinrouter.node.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Creation of event loops, and scheduling relative to their polls. */
public final class EventLoops {
  private EventLoops() {}

  /**
   * Creates a group of one event loop. However the group is shut down, no channel of it stays open.
   */
  public static EventLoopGroup newSingleLoopGroup(IoHandlerFactory handlers) {
    return new MultiThreadIoEventLoopGroup(1, handlers) {
      @Override
      protected IoEventLoop newChild(
          Executor executor, IoHandlerFactory loopHandlers, Object... arguments) {
        return new ChannelClosingEventLoop(this, executor, loopHandlers);
      }
    };
  }

  /** As {@link #newSingleLoopGroup(IoHandlerFactory)}; a listener is notified of each turn. */
  public static EventLoopGroup newSingleLoopGroup(
      IoHandlerFactory handlers, TurnListener turnListener) {
    return newSingleLoopGroup(
        executor -> new TimedIoHandler(handlers.newHandler(executor), turnListener));
  }

  /**
   * Runs a task after a delay and a whole poll of the sockets that follows it, however long the
   * event loop was stalled. A task that is scheduled from within a task without a delay runs after
   * the next poll.
   */
  public static void runAfterNextPoll(EventLoop loop, long delayNanos, Runnable task) {
    loop.schedule(
        () -> loop.schedule(task, 0, TimeUnit.NANOSECONDS), delayNanos, TimeUnit.NANOSECONDS);
  }
}
