package merlinrouter.emulator.peer;

/**
 * An entry of discovery's endpoint list.
 *
 * @param id the endpoint's id
 * @param address the {@code host:port} that nodes connect to
 * @param zone the endpoint's zone
 * @param cell the endpoint's cell
 * @param state whether it accepts requests
 * @param startedAtUnixMillis when it started, in milliseconds of Unix time; 0 for a start long ago
 */
public record EndpointEntry(
    String id, String address, String zone, int cell, State state, long startedAtUnixMillis) {

  /** State of an endpoint in the list. */
  public enum State {
    /** Accepts new requests. */
    READY("Ready"),
    /** Completes the requests that it has and accepts no new ones. */
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
