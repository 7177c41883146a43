package merlinrouter.node.upstream;

/** What the node and endpoints agree on beyond HTTP: names of headers, values and limits. */
public final class EndpointProtocol {
  /** Maximum size of a body in bytes, of requests and of responses. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** The host that requests are for. */
  public static final String SERVICE_HOST = "app.svc";

  /** Id of a request; further attempts carry the same. */
  public static final String REQUEST_ID = "X-Trace-Id";

  /** Time in milliseconds after which the sender stops waiting. */
  public static final String TIMEOUT_MILLIS = "X-Expires-In-Ms";

  /** Key by which endpoints drop duplicates of a request. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Set to {@link #YES} by an endpoint that rejected a request without executing any of it. */
  public static final String NOT_EXECUTED = "X-Never-Ran";

  /** The units that an endpoint charged for a request. */
  public static final String CHARGED_UNITS = "X-Units-Charged";

  /** Value of a flag that is set. */
  public static final String YES = "1";

  private EndpointProtocol() {}
}
