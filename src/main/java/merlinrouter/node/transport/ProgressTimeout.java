package merlinrouter.node.transport;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action when there has been no progress for some time, for example because a peer has
 * stopped in the middle of a message. A peer that is merely slow keeps making progress. Used on the
 * event loop only.
 */
public final class ProgressTimeout {
  private final EventLoop loop;
  private final Runnable action;
  private Future<?> timer;
  private long timeoutNanos;
  private long lastProgressNanos;

  /**
   * Creates a timeout that is not running.
   *
   * @param loop the event loop that the timeout runs on
   * @param action invoked once after each start, unless there is progress or the timeout is stopped
   */
  public ProgressTimeout(EventLoop loop, Runnable action) {
    this.loop = loop;
    this.action = action;
  }

  /** Starts, or starts again, a timeout of {@code newTimeoutNanos} after the last progress. */
  public void start(long newTimeoutNanos) {
    stop();
    timeoutNanos = newTimeoutNanos;
    lastProgressNanos = System.nanoTime();
    schedule(timeoutNanos);
  }

  /** Records progress; the timeout counts from now on. Has no effect while it is not running. */
  public void progressed() {
    lastProgressNanos = System.nanoTime();
  }

  /** Returns the {@link System#nanoTime} of the last progress or start, also after a stop. */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /** Stops the timeout. */
  public void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Returns whether the timeout was started and has neither passed nor been stopped. */
  public boolean isRunning() {
    return timer != null;
  }

  private void schedule(long delayNanos) {
    timer = loop.schedule(this::check, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void check() {
    long remainingNanos = timeoutNanos - (System.nanoTime() - lastProgressNanos);
    if (remainingNanos > 0) {
      schedule(remainingNanos);
    } else {
      timer = null;
      action.run();
    }
  }
}
