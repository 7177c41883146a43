package merlinrouter.node.http;

/** What the HTTP interfaces for clients and to endpoints have in common. */
public final class ServiceProtocol {
  /** Header that identifies a request; it is forwarded unchanged. */
  public static final String REQUEST_ID = "X-Trace-Id";

  /** Header with the time that the sender of a request waits for its response, in milliseconds. */
  public static final String TIMEOUT_MILLIS = "X-Expires-In-Ms";

  /** Header by which duplicates of a request are recognized; it is forwarded unchanged. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The longest body of a request or response. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private ServiceProtocol() {}
}
