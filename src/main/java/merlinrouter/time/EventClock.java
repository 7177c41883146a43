package merlinrouter.time;

/**
 * The monotonic time of the event that is being handled. It stands still while an event is handled,
 * so that all decisions of an event see the same time.
 */
public final class EventClock {
  private long nowNanos;

  /** Creates a clock that shows a moment, in nanoseconds from an arbitrary origin. */
  public EventClock(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /** Moves the clock to the moment of the next event. */
  public void advanceTo(long eventNanos) {
    nowNanos = eventNanos;
  }

  /** Returns the moment of the event that is being handled. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns the nanoseconds that have passed since a moment. */
  public long nanosSince(long momentNanos) {
    return nowNanos - momentNanos;
  }

  /** Returns the seconds that have passed since a moment. */
  public double secondsSince(long momentNanos) {
    return Nanos.toSeconds(nowNanos - momentNanos);
  }
}
