package merlinrouter.emulator.peer;

/** Names on the wire between clients, nodes and upstream servers. */
final class MatchProtocol {
  /** Identifies a request. */
  static final String REQUEST_ID = "X-Trace-Id";

  /** The request's class. */
  static final String REQUEST_CLASS = "X-Qos";

  /** The customer's quota plan. */
  static final String QUOTA_PLAN = "X-Plan";

  /** The cookie that holds the customer as 16 hex digits. */
  static final String CUSTOMER_COOKIE = "customer";

  /** How long the sender waits for a response, in milliseconds. */
  static final String TIMEOUT_MILLIS = "X-Expires-In-Ms";

  /** What the request takes from the quota. */
  static final String QUOTA = "X-Quota";

  /** Identifies duplicates of a request. */
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** In a rejection: {@code 1} proves that the request was not executed. */
  static final String NOT_EXECUTED = "X-Never-Ran";

  private MatchProtocol() {}
}
