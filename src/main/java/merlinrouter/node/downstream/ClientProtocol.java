package merlinrouter.node.downstream;

/** The names of the HTTP interface that clients use, and its limits. */
final class ClientProtocol {
  static final String API_PATH = "/api";
  static final String HEALTH_PATH = "/_health";

  /** Identifies the request. */
  static final String REQUEST_ID = "X-Trace-Id";

  /** Name of the request class. */
  static final String REQUEST_CLASS = "X-Qos";

  /** Name of the customer's quota plan. */
  static final String QUOTA_PLAN = "X-Plan";

  /** What the request takes from its customer's quota: {@code units=1,spread=1,first=0}. */
  static final String QUOTA = "X-Quota";

  /** Units that the request takes. */
  static final String QUOTA_UNITS = "units";

  /** How many gateways the customer's requests come through. */
  static final String QUOTA_GATEWAY_SPREAD = "spread";

  /** Number of the first of these gateways. */
  static final String QUOTA_FIRST_GATEWAY = "first";

  /** How long the client waits for the response, in milliseconds. */
  static final String TIMEOUT_MS = "X-Expires-In-Ms";

  static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** {@link #RETRY_TRUE} if the client marks the request as a retry of an earlier one. */
  static final String RETRY = "X-Second-Try";

  static final String RETRY_TRUE = "1";

  static final String COOKIE = "Cookie";

  /** Cookie with the customer's number, in {@link #CUSTOMER_HEX_DIGITS} hexadecimal digits. */
  static final String CUSTOMER_COOKIE = "customer";

  static final int CUSTOMER_HEX_DIGITS = 16;

  /** Customers' numbers are below this. */
  static final long CUSTOMER_LIMIT = 1L << 33;

  static final int MAX_TOKEN_LENGTH = 128;
  static final int MAX_BODY_BYTES = 64 * 1024;

  private ClientProtocol() {}
}
