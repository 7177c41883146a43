package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;

/**
 * Reads values of request headers strictly: a value that two parsers could interpret differently is
 * rejected.
 */
final class HeaderValues {
  /** The last ASCII character. */
  private static final char DELETE = 127;

  private static final int MAX_DECIMAL_DIGITS = 15;
  private static final int DECIMAL = 10;

  private HeaderValues() {}

  /**
   * Returns the value of a header that may be missing.
   *
   * @return the value; null if the header is missing
   * @throws InvalidRequestException if the header occurs more than once
   */
  static String optional(HttpHeaders headers, String name) throws InvalidRequestException {
    Iterator<String> values = headers.valueStringIterator(name);
    String value = values.hasNext() ? values.next() : null;
    if (values.hasNext()) {
      throw InvalidRequestException.badRequest(name + " stands there twice");
    }
    return value;
  }

  /**
   * Returns the value of a header that must occur exactly once.
   *
   * @throws InvalidRequestException if it is missing, blank or occurs more than once
   */
  static String required(HttpHeaders headers, String name) throws InvalidRequestException {
    String value = optional(headers, name);
    if (value == null || value.isBlank()) {
      throw InvalidRequestException.badRequest(name + " is missing");
    }
    return value;
  }

  /**
   * Returns the value of a required header that endpoints must receive unchanged.
   *
   * @throws InvalidRequestException if it is longer than {@link ClientProtocol#MAX_TOKEN_LENGTH} or
   *     contains characters other than visible ASCII
   */
  static String requiredToken(HttpHeaders headers, String name) throws InvalidRequestException {
    String value = required(headers, name);
    boolean valid = value.length() <= ClientProtocol.MAX_TOKEN_LENGTH;
    for (int i = 0; valid && i < value.length(); i++) {
      valid = value.charAt(i) > ' ' && value.charAt(i) < DELETE;
    }
    if (!valid) {
      throw InvalidRequestException.badRequest(name + " is no name");
    }
    return value;
  }

  /**
   * Parses a decimal integer without a sign.
   *
   * @param text the digits; null is rejected
   * @param name name of the number in the message of the rejection
   * @throws InvalidRequestException if the text is not an integer from {@code min} to {@code max}
   */
  static long wholeNumber(String text, String name, long min, long max)
      throws InvalidRequestException {
    if (text != null
        && !text.isEmpty()
        && text.length() <= MAX_DECIMAL_DIGITS
        && hasOnlyDigits(text, DECIMAL)) {
      long value = Long.parseLong(text);
      if (value >= min && value <= max) {
        return value;
      }
    }
    throw InvalidRequestException.badRequest(
        name + " is not a whole number from " + min + " to " + max);
  }

  /** Returns whether all characters are ASCII digits of a radix. */
  static boolean hasOnlyDigits(String text, int radix) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) > DELETE || Character.digit(text.charAt(i), radix) < 0) {
        return false;
      }
    }
    return true;
  }
}
