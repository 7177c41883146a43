package merlinrouter.simulator;

/** Thrown for input that violates the protocol; the message names the line and the error. */
final class MalformedInputException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Longer lines are truncated in the message. */
  private static final int MAX_QUOTED_CHARACTERS = 200;

  MalformedInputException(long lineNumber, String line, String reason) {
    super("line " + lineNumber + ": " + reason + ": " + quoted(line));
  }

  private static String quoted(String line) {
    return line.substring(0, Math.min(line.length(), MAX_QUOTED_CHARACTERS));
  }
}
