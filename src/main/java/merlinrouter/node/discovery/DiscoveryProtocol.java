package merlinrouter.node.discovery;

/** Names in the HTTP requests that the node sends to discovery. */
public final class DiscoveryProtocol {
  /** Value of the Host header of every request. */
  static final String HOST = "discovery";

  /** Prefix of the URI of every watch; the revision follows. */
  public static final String WATCH_URI = "/catalog/members?watch=1&after=";

  private DiscoveryProtocol() {}

  /** Returns the URI of a watch for changes of the endpoint list after a revision. */
  static String watchUri(long revision) {
    return WATCH_URI + revision;
  }
}
