package merlinrouter.retry;

import merlinrouter.settings.RequestLimits;
import merlinrouter.time.Nanos;

/**
 * The time after which a rejected client is told to retry. It is told whether or not the settings
 * promise that clients heed it: a client that does not is no worse off.
 */
public final class RetryAfter {
  private final long maxNanos;

  /** Creates the rule for the longest time that clients heed. */
  public RetryAfter(RequestLimits limits) {
    maxNanos = limits.maxRetryAfterNanos();
  }

  /** Converts a wait in seconds to nanoseconds, bounded by what clients heed; 0 for no advice. */
  public long nanos(double seconds) {
    return (long) Math.max(0, Math.min(maxNanos, seconds * Nanos.PER_SECOND));
  }
}
