package merlinrouter.retry;

import merlinrouter.model.Outcome;

/**
 * Limits retries to a fraction of the first attempts, so that retries cannot multiply the load of a
 * failing fleet. A retry of an attempt that was surely not executed is free.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;
  private static final double MAX_SAVED_RETRIES = 20;

  private double tokens = MAX_SAVED_RETRIES;

  /** Earns a fraction of a retry by a first attempt. */
  public void firstAttemptStarted() {
    tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_FIRST_ATTEMPT);
  }

  /** Whether a retry after an attempt with some outcome can be paid for. */
  boolean permits(Outcome lastOutcome) {
    return tokens >= cost(lastOutcome);
  }

  /** Pays for a retry after an attempt with some outcome. */
  public void retryStarted(Outcome lastOutcome) {
    tokens -= cost(lastOutcome);
  }

  private static double cost(Outcome lastOutcome) {
    return lastOutcome.provesNotExecuted() ? 0 : 1;
  }
}
