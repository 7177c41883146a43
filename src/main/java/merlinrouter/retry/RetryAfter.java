package merlinrouter.retry;

import merlinrouter.settings.RequestLimits;
import merlinrouter.time.Nanos;

/**
 * Computes the time after which a rejected client should retry. The time is sent even if the
 * settings do not state that clients honour it, since a client that ignores it is no worse off.
 */
public final class RetryAfter {
  private final long maxNanos;

  /** Creates a rule with the longest time that clients honour, from the settings. */
  public RetryAfter(RequestLimits limits) {
    maxNanos = limits.maxRetryAfterNanos();
  }

  /**
   * Converts a wait to nanoseconds, limited to the longest time that clients honour. A result of 0
   * states no time.
   */
  public long nanos(double seconds) {
    return (long) Math.max(0, Math.min(maxNanos, seconds * Nanos.PER_SECOND));
  }
}
