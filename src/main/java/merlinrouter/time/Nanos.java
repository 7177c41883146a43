package merlinrouter.time;

/** Constants and conversions for durations in nanoseconds. */
public final class Nanos {
  /** Nanoseconds in a millisecond. */
  public static final long PER_MILLI = 1_000_000L;

  /** Nanoseconds in a second. */
  public static final long PER_SECOND = 1_000 * PER_MILLI;

  /** One nanosecond in seconds; converts nanoseconds to seconds by multiplication. */
  public static final double IN_SECONDS = 1e-9;

  private Nanos() {}

  /** Converts a duration in nanoseconds to seconds. */
  public static double toSeconds(long nanos) {
    return nanos * IN_SECONDS;
  }
}
