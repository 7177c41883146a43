package merlinrouter.node.upstream;

/** What the node and endpoints agree on beyond HTTP: names of headers, values and limits. */
public final class EndpointProtocol {
  /** The host that requests are for. */
  public static final String SERVICE_HOST = "app.svc";

  /** Set to {@link #YES} by an endpoint that rejected a request without executing any of it. */
  public static final String NOT_EXECUTED = "X-Never-Ran";

  /** The units that an endpoint charged for a request. */
  public static final String CHARGED_UNITS = "X-Units-Charged";

  /** Value of a flag that is set. */
  public static final String YES = "1";

  private EndpointProtocol() {}
}
