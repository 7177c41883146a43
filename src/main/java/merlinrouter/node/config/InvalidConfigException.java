package merlinrouter.node.config;

/**
 * A configuration or an endpoint list that cannot be used; the message is one plain line that names
 * the key.
 */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says which key is wrong and how. */
  public InvalidConfigException(String message) {
    super(message);
  }
}
