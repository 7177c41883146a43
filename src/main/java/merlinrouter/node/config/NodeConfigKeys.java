package merlinrouter.node.config;

/**
 * Keys in the configuration file. The keys inside the object {@link #SETTINGS} are in {@link
 * merlinrouter.settings.SettingKeys}.
 */
final class NodeConfigKeys {
  static final String LISTEN = "listen";
  static final String DISCOVERY = "discovery";
  static final String COUNTER = "counter";
  static final String SEED = "seed";
  static final String KNOWN_ENDPOINTS = "known";
  static final String SETTINGS = "settings";

  static final String LIMITS = "limits";
  static final String MAX_SOCKETS = "sockets";
  static final String MEMORY_MEBIBYTES = "memory_mb";
  static final String CORES = "cores";

  private NodeConfigKeys() {}
}
