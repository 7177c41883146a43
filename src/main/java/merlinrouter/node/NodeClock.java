package merlinrouter.node;

import java.util.concurrent.TimeUnit;

/**
 * The clock that the gateway's decisions use: monotonic, in nanoseconds. At the start its time is
 * close to that of the wall clock, which nothing relies on.
 */
final class NodeClock {
  private final long offsetNanos = wallNanos() - System.nanoTime();

  /** Returns the current time. */
  long nowNanos() {
    return fromNanoTime(System.nanoTime());
  }

  /** Converts a time of {@link System#nanoTime} to this clock. */
  long fromNanoTime(long nanoTime) {
    return nanoTime + offsetNanos;
  }

  /** Converts a time of this clock to {@link System#nanoTime}. */
  long toNanoTime(long nanos) {
    return nanos - offsetNanos;
  }

  /** Returns the wall clock's time, which may step; only for comparison with this clock. */
  static long wallNanos() {
    return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
  }
}
