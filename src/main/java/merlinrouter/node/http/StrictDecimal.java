package merlinrouter.node.http;

/**
 * Parses numbers from a peer. {@link Double#parseDouble} accepts more than the protocol allows
 * ({@code 1d}, {@code 0x1p3}, {@code NaN}), and a number out of bounds must not get into any count.
 */
public final class StrictDecimal {
  private static final int MAX_LENGTH = 32;
  private static final String UNSIGNED_CHARACTERS = "0123456789.";
  private static final String SIGNED_CHARACTERS = "0123456789.+-eE";

  private StrictDecimal() {}

  /** Parses a finite decimal number; returns NaN for any other text. */
  public static double parseFinite(String text) {
    return parse(text, SIGNED_CHARACTERS);
  }

  /**
   * Parses a number above 0 without sign or exponent, and no larger than {@code max}; returns NaN
   * for any other text and for null.
   */
  public static double parsePositive(String text, double max) {
    double value = parse(text, UNSIGNED_CHARACTERS);
    return value > 0 && value <= max ? value : Double.NaN;
  }

  private static double parse(String text, String allowedCharacters) {
    if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
      return Double.NaN;
    }
    for (int i = 0; i < text.length(); i++) {
      if (allowedCharacters.indexOf(text.charAt(i)) < 0) {
        return Double.NaN;
      }
    }
    try {
      double value = Double.parseDouble(text);
      return Double.isFinite(value) ? value : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
