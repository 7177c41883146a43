package merlinrouter.node;

import java.util.concurrent.TimeUnit;

/**
 * The clock that the gateway's decisions use: monotonic, in nanoseconds. It is set to the wall
 * clock's time when it is created, and later steps of the wall clock do not change it. Gateways
 * share a customer's total at the quota counter only while their clocks agree to well under a
 * window (1 to 30 s), because the number of the window, which is part of the counter's key, is
 * computed from this clock.
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
