package merlinrouter.node.config;

/**
 * Thrown if a configuration or an endpoint list is invalid. The message is a single line; if a key
 * is missing or has an invalid value, it names the key.
 */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the invalid key and the fault. */
  public InvalidConfigException(String message) {
    super(message);
  }
}
