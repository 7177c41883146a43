package merlinrouter.node.discovery;

/** Names on the wire between the node and discovery. */
final class DiscoveryProtocol {
  /** The host that requests are for. */
  static final String HOST = "discovery";

  private static final String WATCH_URI = "/catalog/members?watch=1&after=";

  private DiscoveryProtocol() {}

  /** Returns the URI that watches the endpoint list from a revision on. */
  static String watchUri(long revision) {
    return WATCH_URI + revision;
  }
}
