package merlinrouter.node;

import java.util.concurrent.TimeUnit;

/**
 * The clock of a gateway's decisions: monotonic, in nanoseconds. Its origin is near that of the
 * wall clock at the start, which nothing relies on.
 */
final class NodeClock {
  private final long offsetNanos = wallNanos() - System.nanoTime();

  /** The time now. */
  long nowNanos() {
    return fromNanoTime(System.nanoTime());
  }

  /** Converts a moment of {@link System#nanoTime}. */
  long fromNanoTime(long nanoTime) {
    return nanoTime + offsetNanos;
  }

  /** Converts a moment of this clock to {@link System#nanoTime}. */
  long toNanoTime(long nanos) {
    return nanos - offsetNanos;
  }

  /** The wall clock, which may step: only to be compared with this clock. */
  static long wallNanos() {
    return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
  }
}
