package merlinrouter.model;

/** How an attempt, a health check or a call to the quota counter ended. */
public enum Outcome {
  /** The request was served, or the counter was updated. */
  OK(false),
  /** An error response was received; the request may have been executed. */
  ERROR(false),
  /** Rejected without being executed. */
  REJECTED(true),
  /** No response within the timeout; the request may have been executed or counted. */
  TIMEOUT(false),
  /** Not sent completely: no connection was established in time, or it broke before. */
  CONNECT_FAILED(true),
  /** The connection broke; the request may have been executed. */
  RESET(false),
  /** Cancelled before its end; the request may have been executed. */
  CANCELLED(false),
  /** Never sent by the host. */
  NOT_SENT(true);

  private final boolean notExecuted;

  Outcome(boolean notExecuted) {
    this.notExecuted = notExecuted;
  }

  /** Returns whether this outcome proves that the request was not executed. */
  public boolean provesNotExecuted() {
    return notExecuted;
  }
}
