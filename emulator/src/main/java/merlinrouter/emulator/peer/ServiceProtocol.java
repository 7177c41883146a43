package merlinrouter.emulator.peer;

/** Names of headers and of the cookie between clients, nodes and upstream servers. */
final class ServiceProtocol {
  /** Header that identifies a request. */
  static final String REQUEST_ID = "X-Trace-Id";

  /** Header with the request's class. */
  static final String REQUEST_CLASS = "X-Qos";

  /** Header with the customer's quota plan. */
  static final String QUOTA_PLAN = "X-Plan";

  /** Cookie with the customer as 16 hex digits. */
  static final String CUSTOMER_COOKIE = "customer";

  /** Header with the time that the sender waits for a response, in milliseconds. */
  static final String TIMEOUT_MILLIS = "X-Expires-In-Ms";

  /** Header with the units that the request takes from the quota. */
  static final String QUOTA = "X-Quota";

  /** Header by which duplicates of a request are recognized. */
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Header of a rejection: {@code 1} proves that the request was not executed. */
  static final String NOT_EXECUTED = "X-Never-Ran";

  private ServiceProtocol() {}
}
