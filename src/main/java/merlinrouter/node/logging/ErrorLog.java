package merlinrouter.node.logging;

/** Reports unexpected errors on the standard error stream, one line each. */
public final class ErrorLog {
  private ErrorLog() {}

  /**
   * Writes one line that names the error and the place where it was thrown. May be called on any
   * thread.
   *
   * @param context what the program was doing
   * @param cause the error
   */
  public static void report(String context, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    System.err.println(context + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
