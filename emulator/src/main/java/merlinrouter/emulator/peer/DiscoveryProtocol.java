package merlinrouter.emulator.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Writes discovery's endpoint lists as JSON and parses the requests for them. */
final class DiscoveryProtocol {
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final String REVISION = "revision";
  private static final String FULL = "complete";
  private static final String ENDPOINTS = "members";

  private static final String ENDPOINT_ID = "id";
  private static final String ENDPOINT_ADDRESS = "host_port";
  private static final String ENDPOINT_ZONE = "locality";
  private static final String ENDPOINT_MACHINE_TYPE = "flavor";
  private static final String ENDPOINT_CELL = "cell";
  private static final String ENDPOINT_STATE = "phase";
  private static final String ENDPOINT_WEIGHT = "size";
  private static final String ENDPOINT_STARTED_AT_UNIX_MILLIS = "up_since_ms";

  private static final String MACHINE_TYPE = "standard";
  private static final double WEIGHT = 1.0;

  private static final String WATCH_PARAMETER = "watch=1";
  private static final Pattern KNOWN_REVISION_PARAMETER = Pattern.compile("after=(\\d+)");

  private DiscoveryProtocol() {}

  /**
   * Returns an endpoint list as JSON.
   *
   * @param revision the list's revision
   * @param full whether it is the full list, not only the changes
   * @param entries the list's entries
   */
  static String endpointList(long revision, boolean full, List<EndpointEntry> entries) {
    ObjectNode root = JSON.createObjectNode().put(REVISION, revision).put(FULL, full);
    ArrayNode list = root.putArray(ENDPOINTS);
    for (EndpointEntry entry : entries) {
      list.addObject()
          .put(ENDPOINT_ID, entry.id())
          .put(ENDPOINT_ADDRESS, entry.address())
          .put(ENDPOINT_ZONE, entry.zone())
          .put(ENDPOINT_MACHINE_TYPE, MACHINE_TYPE)
          .put(ENDPOINT_CELL, entry.cell())
          .put(ENDPOINT_STATE, entry.state().wireName())
          .put(ENDPOINT_WEIGHT, WEIGHT)
          .put(ENDPOINT_STARTED_AT_UNIX_MILLIS, entry.startedAtUnixMillis());
    }
    return root.toString();
  }

  /** Returns whether a request opens a watch instead of reading the list once. */
  static boolean isWatch(HttpMessage request) {
    return request.path().contains(WATCH_PARAMETER);
  }

  /** Returns the revision after which a watch requests changes. */
  static long knownRevision(HttpMessage watch) {
    Matcher matcher = KNOWN_REVISION_PARAMETER.matcher(watch.path());
    if (!matcher.find()) {
      throw new IllegalArgumentException("watch request has no revision: " + watch.path());
    }
    return Long.parseLong(matcher.group(1));
  }
}
