package merlinrouter.node.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Creates event loops, and schedules tasks relative to their polls of the sockets. */
public final class EventLoops {
  private EventLoops() {}

  /**
   * Creates a group of one event loop, which leaves no channel open however the group is shut down.
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

  /**
   * Creates a group as {@link #newSingleLoopGroup(IoHandlerFactory)} does, whose event loop
   * notifies a listener of each turn.
   */
  public static EventLoopGroup newSingleLoopGroup(
      IoHandlerFactory handlers, TurnListener turnListener) {
    return newSingleLoopGroup(
        executor -> new TimedIoHandler(handlers.newHandler(executor), turnListener));
  }

  /**
   * Runs a task after a delay and a whole poll of the sockets that follows the delay, however long
   * the event loop was stalled. This relies on the order of the event loop's work: a task that
   * another task schedules without a delay runs after the next poll.
   */
  public static void runAfterNextPoll(EventLoop loop, long delayNanos, Runnable task) {
    loop.schedule(
        () -> loop.schedule(task, 0, TimeUnit.NANOSECONDS), delayNanos, TimeUnit.NANOSECONDS);
  }
}
