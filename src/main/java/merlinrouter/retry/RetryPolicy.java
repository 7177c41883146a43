package merlinrouter.retry;

import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.RequestLimits;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/** Decides whether a request may be attempted again. */
public final class RetryPolicy {
  /** A retry is worth starting if this part of the mean service time is left to the objective. */
  private static final double MIN_TIME_LEFT_PER_SERVICE = 1.0 / 2;

  private final RequestLimits limits;
  private final RetryBudget budget;
  private final EventClock clock;
  private final long latestArrivalNanos;

  /**
   * Creates a policy.
   *
   * @param delayNanos time that may pass between an event and the attempt that it causes
   */
  public RetryPolicy(RequestLimits limits, RetryBudget budget, EventClock clock, long delayNanos) {
    this.limits = limits;
    this.budget = budget;
    this.clock = clock;
    // A retry reaches its endpoint when the connection is up, at the latest after this time.
    latestArrivalNanos = limits.connectTimeoutNanos() + delayNanos;
  }

  /**
   * Whether a request may be attempted again.
   *
   * @param requestClass its class
   * @param history its attempts so far
   * @param attempts how many attempts it has had
   * @param objectiveAtNanos moment up to which a response earns the full value
   * @param meanServiceSeconds mean service time of its class
   * @param previousNotExecuted whether the attempt that just ended was surely not executed
   */
  public boolean mayRetry(
      RequestClass requestClass,
      ExecutionHistory history,
      int attempts,
      long objectiveAtNanos,
      double meanServiceSeconds,
      boolean previousNotExecuted) {
    return attempts < limits.maxAttempts()
        && isSafeToRepeat(requestClass, history)
        && isInTime(objectiveAtNanos, meanServiceSeconds)
        && budget.permits(previousNotExecuted);
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
    long latestAgeNanos = clock.nowNanos() + latestArrivalNanos - history.firstExecutionNanos();
    return latestAgeNanos < requestClass.deduplicationWindowNanos();
  }

  private boolean isInTime(long objectiveAtNanos, double meanServiceSeconds) {
    long neededNanos = (long) (meanServiceSeconds * Nanos.PER_SECOND * MIN_TIME_LEFT_PER_SERVICE);
    return clock.nowNanos() + neededNanos < objectiveAtNanos;
  }

  /**
   * Whether the final response of a request that was not served may promise that a retry by the
   * client is harmless.
   */
  public static boolean mayReject(RequestClass requestClass, ExecutionHistory history) {
    return !history.isPossiblyExecuted()
        || requestClass.idempotency() == Idempotency.IDEMPOTENT
        || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && requestClass.deduplicationScope().coversAllEndpoints();
  }
}
