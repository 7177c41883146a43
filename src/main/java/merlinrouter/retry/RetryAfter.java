package merlinrouter.retry;

import merlinrouter.settings.RequestLimits;
import merlinrouter.time.Nanos;

/**
 * The time after which a rejected client should retry. It is sent whether or not the settings
 * promise that clients honour it, since one that does not is no worse off.
 */
public final class RetryAfter {
  private final long maxNanos;

  /** Creates the rule for the longest time that clients honour. */
  public RetryAfter(RequestLimits limits) {
    maxNanos = limits.maxRetryAfterNanos();
  }

  /** Converts a wait in seconds to nanoseconds, bounded by what clients honour; 0 for no advice. */
  public long nanos(double seconds) {
    return (long) Math.max(0, Math.min(maxNanos, seconds * Nanos.PER_SECOND));
  }
}
