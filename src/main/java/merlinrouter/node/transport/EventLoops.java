package merlinrouter.node.transport;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Scheduling relative to the polls of an event loop. */
public final class EventLoops {
  private EventLoops() {}

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
