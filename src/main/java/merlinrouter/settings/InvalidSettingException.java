package merlinrouter.settings;

/**
 * Thrown if settings cannot be read. The message starts with the key of the invalid value, or with
 * the word that is not a key-value pair.
 */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidSettingException(String message) {
    super(message);
  }
}
