package merlinrouter.time;

/**
 * The monotonic time of the event that is being handled. It does not change while an event is
 * handled, so that all decisions made for the event use the same time.
 */
public final class EventClock {
  private long nowNanos;

  /**
   * Creates a clock set to a time in nanoseconds, whose origin must be the same for all gateways
   * that share a quota counter, since the counter's windows are numbered from this clock.
   */
  public EventClock(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Sets the clock to the time of the next event. */
  public void advanceTo(long eventNanos) {
    nowNanos = eventNanos;
  }

  /** Returns the time of the event that is being handled. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns the nanoseconds from a time to the current event; negative if it is later. */
  public long nanosSince(long timeNanos) {
    return nowNanos - timeNanos;
  }

  /** Returns the seconds from a time to the current event; negative if it is later. */
  public double secondsSince(long timeNanos) {
    return Nanos.toSeconds(nowNanos - timeNanos);
  }
}
