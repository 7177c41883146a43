package merlinrouter.emulator.peer;

/** What discovery sends on a connection that is opened during an outage. */
public enum DiscoveryOutage {
  /** The connection is established, and nothing is sent. */
  NO_BYTES,
  /** The head of the response, and nothing more. */
  HEAD_ALONE,
  /** The head and a part of the list, and nothing more. */
  HALF_A_LIST,
  /** The connection is reset, as are those that were open before. */
  RESET,
  /** The connection is not established. */
  NEVER_UP
}
