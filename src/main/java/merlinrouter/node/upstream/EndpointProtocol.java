package merlinrouter.node.upstream;

/** Header names and values of the protocol between the node and endpoints. */
public final class EndpointProtocol {
  /** The value of the Host header of requests to the service. */
  public static final String SERVICE_HOST = "app.svc";

  /**
   * Header set to {@link #YES} by an endpoint that rejected a request without executing any of it.
   */
  public static final String NOT_EXECUTED = "X-Never-Ran";

  /** Header with the units that an endpoint charged for a request. */
  public static final String CHARGED_UNITS = "X-Units-Charged";

  /** Header value of a flag that is set. */
  public static final String YES = "1";

  private EndpointProtocol() {}
}
