package merlinrouter.time;

/** Durations in nanoseconds. */
public final class Nanos {
  /** Nanoseconds in a millisecond. */
  public static final long PER_MILLI = 1_000_000L;

  /** Nanoseconds in a second. */
  public static final long PER_SECOND = 1_000 * PER_MILLI;

  /** Seconds in a nanosecond. */
  public static final double IN_SECONDS = 1e-9;

  private Nanos() {}

  /** Converts a duration to seconds. */
  public static double toSeconds(long nanos) {
    return nanos * IN_SECONDS;
  }
}
