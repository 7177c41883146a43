package merlinrouter.node.logging;

/**
 * Reports unexpected errors on the standard error stream, one line each with its stack trace.
 * Thread-safe.
 */
public final class ErrorLog {
  private ErrorLog() {}

  /**
   * Reports an error.
   *
   * @param context what failed
   * @param cause the error, which is written with the stack trace and with its own causes
   */
  public static void report(String context, Throwable cause) {
    StringBuilder line = new StringBuilder(context);
    for (Throwable each = cause; each != null; each = each.getCause()) {
      line.append(each == cause ? ": " : ", caused by ").append(each);
      for (StackTraceElement frame : each.getStackTrace()) {
        line.append(" at ").append(frame);
      }
    }
    System.err.println(line);
  }
}
