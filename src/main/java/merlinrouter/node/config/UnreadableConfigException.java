package merlinrouter.node.config;

/** Thrown if the configuration file cannot be read; a later attempt may succeed. */
public final class UnreadableConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  UnreadableConfigException(String message) {
    super(message);
  }
}
