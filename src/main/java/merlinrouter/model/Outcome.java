package merlinrouter.model;

/** How an attempt, a health check or a call to the quota counter ended. */
public enum Outcome {
  /** Served, or counted. */
  OK(false),
  /** Answered with an error; the request may have been executed. */
  ERROR(false),
  /** Rejected before it was executed. */
  REJECTED(true),
  /** No response in time; it may have been executed or counted. */
  TIMEOUT(false),
  /** No connection in time. */
  CONNECT_FAILED(true),
  /** The connection broke; the request may have been executed. */
  RESET(false),
  /** Cancelled by the gateway; it may have been executed. */
  CANCELLED(false),
  /** Never sent by the host. */
  NOT_SENT(true);

  private final boolean notExecuted;

  Outcome(boolean notExecuted) {
    this.notExecuted = notExecuted;
  }

  /** Whether this outcome proves that the attempt had no effect. */
  public boolean provesNotExecuted() {
    return notExecuted;
  }
}
