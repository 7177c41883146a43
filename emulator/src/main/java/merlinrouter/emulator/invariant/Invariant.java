package merlinrouter.emulator.invariant;

/** What must hold for each request. */
public enum Invariant {
  /** Each complete request gets a complete response by its deadline, give or take 0.5 s. */
  RESPONSE_IN_TIME,
  /** No connection is closed without a response to a request that the node has read. */
  NO_CLOSE_WITHOUT_RESPONSE,
  /**
   * A client that stops in the middle of its request gets an error or a close within 3 s, and the
   * request is not forwarded.
   */
  INCOMPLETE_REQUEST_ENDED,
  /** A client gets only the response that an upstream server made for its request. */
  OWN_RESPONSE_ONLY,
  /** No attempt is received over 0.1 s after the request ended for its client. */
  NO_ATTEMPT_AFTER_END,
  /** The timeout announced to an upstream server is no longer than the client's remaining time. */
  FORWARDED_TIMEOUT_WITHIN_DEADLINE,
  /** A non-idempotent request is not retried after an attempt that may have been executed. */
  NON_IDEMPOTENT_NOT_RETRIED,
  /** An upstream server gets no request after the grace period of its draining. */
  NOT_FORWARDED_TO_DRAINING
}
