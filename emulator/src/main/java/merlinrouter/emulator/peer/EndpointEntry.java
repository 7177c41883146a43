package merlinrouter.emulator.peer;

/**
 * An entry of discovery's endpoint list.
 *
 * @param id the endpoint's name
 * @param address where nodes connect to, as {@code host:port}
 * @param zone the endpoint's zone
 * @param cell the endpoint's cell
 * @param state whether it takes requests
 * @param startedAtUnixMillis when it started, in Unix time; 0 for long ago
 */
public record EndpointEntry(
    String id, String address, String zone, int cell, State state, long startedAtUnixMillis) {

  /** What discovery says of an endpoint. */
  public enum State {
    /** Takes new requests. */
    READY("Ready"),
    /** Finishes what it has and takes nothing new. */
    DRAINING("Terminating"),
    /** Removed from the list. */
    REMOVED("Gone");

    private final String wireName;

    State(String wireName) {
      this.wireName = wireName;
    }

    String wireName() {
      return wireName;
    }
  }
}
