package merlinrouter.node.discovery;

/** Names on the wire between the node and discovery. */
public final class DiscoveryProtocol {
  /** The host that requests are for. */
  static final String HOST = "discovery";

  /** Start of the URI of every watch; the revision follows. */
  public static final String WATCH_URI = "/catalog/members?watch=1&after=";

  private DiscoveryProtocol() {}

  /** Returns the URI that watches the endpoint list from a revision on. */
  static String watchUri(long revision) {
    return WATCH_URI + revision;
  }
}
