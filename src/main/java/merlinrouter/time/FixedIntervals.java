package merlinrouter.time;

/**
 * Consecutive intervals of equal length. If several of them have ended since the last check, as
 * after an event-loop stall, they count as one, because nothing was measured in the skipped ones.
 */
public final class FixedIntervals {
  private final long lengthNanos;
  private long endsAtNanos;

  /**
   * Starts the first interval.
   *
   * @param startNanos start of the first interval
   * @param lengthNanos length of every interval; positive
   */
  public FixedIntervals(long startNanos, long lengthNanos) {
    this.lengthNanos = lengthNanos;
    endsAtNanos = startNanos + lengthNanos;
  }

  /**
   * Returns whether an interval has ended since the last call, or since the start.
   *
   * @param nowNanos the current time; must not be earlier than in the last call
   */
  public boolean hasEnded(long nowNanos) {
    if (nowNanos < endsAtNanos) {
      return false;
    }
    long missedIntervals = (nowNanos - endsAtNanos) / lengthNanos;
    endsAtNanos += (missedIntervals + 1) * lengthNanos;
    return true;
  }
}
