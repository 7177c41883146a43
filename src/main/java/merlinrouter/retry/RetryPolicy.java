package merlinrouter.retry;

import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.RequestLimits;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/** Decides whether a request may be attempted again. */
public final class RetryPolicy {
  /** Least time that a retry needs before the objective, as a fraction of the mean service time. */
  private static final double MIN_TIME_LEFT_PER_SERVICE = 1.0 / 2;

  private final RequestLimits limits;
  private final RetryBudget budget;
  private final EventClock clock;
  private final long maxDelayToEndpointNanos;

  /**
   * Creates a policy.
   *
   * @param actionDelayNanos maximum delay of a host between an event and the start of the attempt
   *     that it causes
   */
  public RetryPolicy(
      RequestLimits limits, RetryBudget budget, EventClock clock, long actionDelayNanos) {
    this.limits = limits;
    this.budget = budget;
    this.clock = clock;
    // A retry is sent once its connection is established, at the latest after this delay.
    maxDelayToEndpointNanos = limits.connectTimeoutNanos() + actionDelayNanos;
  }

  /** Returns whether a request may be attempted again. */
  public boolean mayRetry(RetryCandidate candidate) {
    return candidate.attempts() < limits.maxAttempts()
        && isSafeToRepeat(candidate.requestClass(), candidate.history())
        && hasTimeLeft(candidate.objectiveAtNanos(), candidate.meanServiceSeconds())
        && budget.permits(candidate.lastOutcome());
  }

  /**
   * Returns whether another attempt is harmless: the request was not executed, may be executed
   * again, or is still within its deduplication window.
   */
  private boolean isSafeToRepeat(RequestClass requestClass, ExecutionHistory history) {
    if (!history.isPossiblyExecuted()) {
      return true;
    }
    return switch (requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEY -> arrivesWithinWindow(requestClass, history);
      case NON_IDEMPOTENT -> false;
    };
  }

  private boolean arrivesWithinWindow(RequestClass requestClass, ExecutionHistory history) {
    long latestAgeNanos =
        clock.nowNanos() + maxDelayToEndpointNanos - history.firstExecutionNanos();
    return latestAgeNanos < requestClass.deduplicationWindowNanos();
  }

  private boolean hasTimeLeft(long objectiveAtNanos, double meanServiceSeconds) {
    long neededNanos = (long) (meanServiceSeconds * Nanos.PER_SECOND * MIN_TIME_LEFT_PER_SERVICE);
    return clock.nowNanos() + neededNanos < objectiveAtNanos;
  }

  /**
   * Returns whether a retry by the client is harmless for a request that was not served: it was
   * never executed, is idempotent, or has an idempotency key by which every endpoint drops
   * duplicates. The deduplication window is not checked.
   */
  public static boolean isClientRetryHarmless(RequestClass requestClass, ExecutionHistory history) {
    return !history.isPossiblyExecuted()
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && requestClass.deduplicationScope().coversAllEndpoints();
  }
}
