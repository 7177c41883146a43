package merlinrouter.node.downstream;

/** Names and limits of the HTTP interface for clients. */
public final class ClientProtocol {
  /** Path of client requests. */
  public static final String API_PATH = "/api";

  /** Path of the node's own health check. */
  public static final String HEALTH_PATH = "/_health";

  /** Header with the name of the request class. */
  public static final String REQUEST_CLASS = "X-Qos";

  /** Header with the name of the customer's quota plan. */
  public static final String QUOTA_PLAN = "X-Plan";

  /** Header with the request's use of its customer's quota: {@code units=1,spread=1,first=0}. */
  public static final String QUOTA = "X-Quota";

  /** Field of {@link #QUOTA}: units that the request takes from the quota. */
  public static final String QUOTA_UNITS = "units";

  /** Field of {@link #QUOTA}: number of gateways that receive the customer's requests. */
  public static final String QUOTA_GATEWAY_SPREAD = "spread";

  /** Field of {@link #QUOTA}: index of the first of these gateways. */
  public static final String QUOTA_FIRST_GATEWAY = "first";

  /** Header that marks a retry of an earlier request, with the value {@link #RETRY_TRUE}. */
  public static final String RETRY = "X-Second-Try";

  /** Value of {@link #RETRY} on a retry. */
  public static final String RETRY_TRUE = "1";

  /** Header with the cookies. */
  public static final String COOKIE = "Cookie";

  /** Cookie with the customer's number, in {@link #CUSTOMER_HEX_DIGITS} hexadecimal digits. */
  public static final String CUSTOMER_COOKIE = "customer";

  /** Length of a customer's number in its cookie. */
  public static final int CUSTOMER_HEX_DIGITS = 16;

  /** Exclusive upper bound of customers' numbers. */
  public static final long CUSTOMER_LIMIT = 1L << 33;

  /** Maximum length of a request id or an idempotency key. */
  public static final int MAX_TOKEN_LENGTH = 128;

  private ClientProtocol() {}
}
