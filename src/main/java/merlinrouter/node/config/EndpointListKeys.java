package merlinrouter.node.config;

/** Keys and values in an endpoint list, as written by discovery and in the configuration file. */
final class EndpointListKeys {
  static final String REVISION = "revision";
  static final String COMPLETE = "complete";
  static final String ENTRIES = "members";

  static final String ID = "id";
  static final String ADDRESS = "host_port";
  static final String STATE = "phase";
  static final String WEIGHT = "size";
  static final String ZONE = "locality";
  static final String CELL = "cell";
  static final String MACHINE_TYPE = "flavor";

  /** Wall-clock time of the endpoint's start, in milliseconds since the epoch; 0 for long ago. */
  static final String STARTED_AT_MILLIS = "up_since_ms";

  static final String READY = "Ready";
  static final String REMOVED = "Gone";

  private EndpointListKeys() {}
}
