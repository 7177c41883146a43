package merlinrouter.node.http;

/** Headers and limits that are common to the HTTP interfaces to clients and to endpoints. */
public final class ServiceProtocol {
  /** Header that identifies a request; it is forwarded unchanged. */
  public static final String REQUEST_ID = "X-Trace-Id";

  /** Header with the time, in milliseconds, that a request's sender waits for the response. */
  public static final String TIMEOUT_MILLIS = "X-Expires-In-Ms";

  /** Header by which duplicates of a request are recognized; it is forwarded unchanged. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The maximum size of the body of a request or response. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private ServiceProtocol() {}
}
