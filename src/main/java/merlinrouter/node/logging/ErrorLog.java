package merlinrouter.node.logging;

/** Reports unexpected errors on the standard error stream, one line each. Thread-safe. */
public final class ErrorLog {
  private ErrorLog() {}

  /**
   * Reports an error.
   *
   * @param context what failed
   * @param cause the error; only its first stack frame is written
   */
  public static void report(String context, Throwable cause) {
    StackTraceElement[] frames = cause.getStackTrace();
    System.err.println(context + ": " + cause + (frames.length > 0 ? " at " + frames[0] : ""));
  }
}
