package merlinrouter.node.request;

import merlinrouter.time.Nanos;

/**
 * The times at which a request reached its stages, and at which its client stops waiting. Times are
 * those of {@link System#nanoTime}. Used on the event loop only.
 */
public final class RequestTimeline {
  /** The stages of a request, in their usual order. */
  public enum Stage {
    /** It was received as a whole, and its head was parsed. */
    READ,
    /** It was admitted, possibly over its quota, and added to the queue of its class. */
    ADMITTED,
    /** Its latest attempt was started. */
    ATTEMPT_STARTED,
    /** Its latest attempt ended. */
    ATTEMPT_ENDED,
    /** Its final response was written. */
    RESPONDED
  }

  private final long arrivedAtNanos;
  private final long clientDeadlineNanos;
  private final long[] reachedAtNanos = new long[Stage.values().length];
  private final boolean[] reached = new boolean[Stage.values().length];

  /**
   * Creates a timeline of a request that is not read yet.
   *
   * @param arrivedAtNanos the earliest time at which its first byte may have arrived
   * @param timeoutNanos how long its client waits from then on
   */
  public RequestTimeline(long arrivedAtNanos, long timeoutNanos) {
    this.arrivedAtNanos = arrivedAtNanos;
    clientDeadlineNanos = arrivedAtNanos + timeoutNanos;
  }

  /** Returns the earliest time at which the request's first byte may have arrived. */
  public long arrivedAtNanos() {
    return arrivedAtNanos;
  }

  /** Returns the time at which the client stops waiting. */
  public long clientDeadlineNanos() {
    return clientDeadlineNanos;
  }

  /** Returns when the final response was written; valid only after that. */
  public long respondedAtNanos() {
    return reachedAtNanos[Stage.RESPONDED.ordinal()];
  }

  /** Records that the request reaches a stage now. */
  public void reach(Stage stage) {
    reach(stage, System.nanoTime());
  }

  /** Records that the request reached a stage. */
  public void reach(Stage stage, long atNanos) {
    reached[stage.ordinal()] = true;
    reachedAtNanos[stage.ordinal()] = atNanos;
  }

  /** Returns the client's deadline and the stages, in ms since the arrival, for a log line. */
  public String describe() {
    StringBuilder text = new StringBuilder("client's deadline ");
    text.append(millisSinceArrival(clientDeadlineNanos)).append(" ms after the arrival");
    for (Stage stage : Stage.values()) {
      text.append(", ").append(stage).append(' ');
      text.append(
          reached[stage.ordinal()] ? millisSinceArrival(reachedAtNanos[stage.ordinal()]) : "-");
    }
    return text.toString();
  }

  private Object millisSinceArrival(long nanos) {
    return (nanos - arrivedAtNanos) / Nanos.PER_MILLI;
  }
}
