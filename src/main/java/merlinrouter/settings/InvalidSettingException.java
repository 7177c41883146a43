package merlinrouter.settings;

/** A setting has a value that cannot be used; the message starts with its key. */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidSettingException(String message) {
    super(message);
  }
}
