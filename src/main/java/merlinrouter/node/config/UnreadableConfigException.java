package merlinrouter.node.config;

/** A configuration file that could not be read; the next attempt may succeed. */
public final class UnreadableConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  UnreadableConfigException(String message) {
    super(message);
  }
}
