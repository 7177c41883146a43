package merlinrouter.node.downstream;

/** The names of the HTTP interface that clients use, and its limits. */
public final class ClientProtocol {
  /** Path of requests. */
  public static final String API_PATH = "/api";

  /** Path of the node's own health check. */
  public static final String HEALTH_PATH = "/_health";

  /** Name of the request class. */
  public static final String REQUEST_CLASS = "X-Qos";

  /** Name of the customer's quota plan. */
  public static final String QUOTA_PLAN = "X-Plan";

  /** What the request takes from its customer's quota: {@code units=1,spread=1,first=0}. */
  public static final String QUOTA = "X-Quota";

  /** Units that the request takes. */
  public static final String QUOTA_UNITS = "units";

  /** How many gateways the customer's requests come through. */
  public static final String QUOTA_GATEWAY_SPREAD = "spread";

  /** Number of the first of these gateways. */
  public static final String QUOTA_FIRST_GATEWAY = "first";

  /** {@link #RETRY_TRUE} if the client marks the request as a retry of an earlier one. */
  public static final String RETRY = "X-Second-Try";

  /** Value of {@link #RETRY} on a retry. */
  public static final String RETRY_TRUE = "1";

  /** Header that holds the cookies. */
  public static final String COOKIE = "Cookie";

  /** Cookie with the customer's number, in {@link #CUSTOMER_HEX_DIGITS} hexadecimal digits. */
  public static final String CUSTOMER_COOKIE = "customer";

  /** Length of a customer's number in its cookie. */
  public static final int CUSTOMER_HEX_DIGITS = 16;

  /** Customers' numbers are below this. */
  public static final long CUSTOMER_LIMIT = 1L << 33;

  /** Maximum length of a request id, a key or a name. */
  public static final int MAX_TOKEN_LENGTH = 128;

  private ClientProtocol() {}
}
