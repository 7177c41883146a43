package merlinrouter.retry;

import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.RequestLimits;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/** Decides whether a request may be attempted again. */
public final class RetryPolicy {
  /** A retry needs this fraction of the mean service time to be left to the objective. */
  private static final double MIN_TIME_LEFT_PER_SERVICE = 1.0 / 2;

  private final RequestLimits limits;
  private final RetryBudget budget;
  private final EventClock clock;
  private final long maxDelayToEndpointNanos;

  /**
   * Creates a policy.
   *
   * @param actionDelayNanos most time that a host takes between an event and the attempt it causes
   */
  public RetryPolicy(
      RequestLimits limits, RetryBudget budget, EventClock clock, long actionDelayNanos) {
    this.limits = limits;
    this.budget = budget;
    this.clock = clock;
    // A retry reaches its endpoint when the connection is up, at the latest after this time.
    maxDelayToEndpointNanos = limits.connectTimeoutNanos() + actionDelayNanos;
  }

  /** Whether a request may be attempted again. */
  public boolean mayRetry(RetryCandidate candidate) {
    return candidate.attempts() < limits.maxAttempts()
        && isSafeToRepeat(candidate.requestClass(), candidate.history())
        && isInTime(candidate.objectiveAtNanos(), candidate.meanServiceSeconds())
        && budget.permits(candidate.lastOutcome());
  }

  /** Whether one more execution does no harm: there was none, or it is idempotent. */
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

  private boolean isInTime(long objectiveAtNanos, double meanServiceSeconds) {
    long neededNanos = (long) (meanServiceSeconds * Nanos.PER_SECOND * MIN_TIME_LEFT_PER_SERVICE);
    return clock.nowNanos() + neededNanos < objectiveAtNanos;
  }

  /**
   * Whether a retry by the client of a request that was not served would be harmless: it was never
   * executed, or may be executed again.
   */
  public static boolean isClientRetryHarmless(RequestClass requestClass, ExecutionHistory history) {
    return !history.isPossiblyExecuted()
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && requestClass.deduplicationScope().coversAllEndpoints();
  }
}
