package merlinrouter.time;

/**
 * Successive intervals of one length. Where time passes several ends at once, as in a stall, they
 * count as one: the intervals between had nothing that could be measured.
 */
public final class FixedIntervals {
  private final long lengthNanos;
  private long endsAtNanos;

  /** Starts the first interval, of a positive length, in nanoseconds. */
  public FixedIntervals(long startNanos, long lengthNanos) {
    this.lengthNanos = lengthNanos;
    endsAtNanos = startNanos + lengthNanos;
  }

  /** Whether an interval has ended since this was last asked. Time must not go back. */
  public boolean hasEnded(long nowNanos) {
    if (nowNanos < endsAtNanos) {
      return false;
    }
    long missedIntervals = (nowNanos - endsAtNanos) / lengthNanos;
    endsAtNanos += (missedIntervals + 1) * lengthNanos;
    return true;
  }
}
