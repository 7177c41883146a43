package merlinrouter.node.http;

/**
 * Parses decimal numbers that a peer sent. {@link Double#parseDouble} accepts more than the
 * protocol allows ({@code 1d}, {@code 0x1p3}, {@code NaN}), and a number outside its bounds must
 * not be added to any total.
 */
public final class StrictDecimal {
  private static final int MAX_CHARACTERS = 32;
  private static final String UNSIGNED_CHARACTERS = "0123456789.";
  private static final String SIGNED_CHARACTERS = "0123456789.+-eE";

  private StrictDecimal() {}

  /** Parses a finite decimal number; returns NaN for any other text and for null. */
  public static double parseFinite(String text) {
    return parse(text, SIGNED_CHARACTERS);
  }

  /**
   * Parses a decimal number above 0 and up to {@code max}, without sign or exponent; returns NaN
   * for any other text and for null.
   */
  public static double parsePositive(String text, double max) {
    double value = parse(text, UNSIGNED_CHARACTERS);
    return value > 0 && value <= max ? value : Double.NaN;
  }

  private static double parse(String text, String allowedCharacters) {
    if (text == null || text.isEmpty() || text.length() > MAX_CHARACTERS) {
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
