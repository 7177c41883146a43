package merlinrouter.emulator.invariant;

/** An invariant of the service, which holds for each request. */
public enum Invariant {
  /** Each complete request gets a complete response at most 0.5 s after its deadline. */
  RESPONSE_IN_TIME,
  /** No connection is closed without a response to a request that the node has read. */
  NO_CLOSE_WITHOUT_RESPONSE,
  /**
   * A client that stops in the middle of its request gets an error response or an end of its
   * connection within 3 s, and the request is not forwarded.
   */
  INCOMPLETE_REQUEST_ENDED,
  /** A client gets only the response that an upstream server made for its request. */
  OWN_RESPONSE_ONLY,
  /** No attempt is received more than 0.1 s after the request ended for its client. */
  NO_ATTEMPT_AFTER_END,
  /** The forwarded timeout exceeds the client's remaining time by at most 0.15 s. */
  FORWARDED_TIMEOUT_WITHIN_DEADLINE,
  /** A non-idempotent request is not retried after an attempt that may have been executed. */
  NON_IDEMPOTENT_NOT_RETRIED,
  /** An upstream server receives no request after the grace period of its drain. */
  NOT_FORWARDED_TO_DRAINING
}
