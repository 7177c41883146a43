package merlinrouter.retry;

import merlinrouter.model.Outcome;

/**
 * Limits retries to a fraction of the first attempts, so that retries cannot multiply the load of a
 * failing fleet. A retry is free if the last attempt was provably not executed.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;
  private static final double MAX_SAVED_RETRIES = 20;

  private double tokens = MAX_SAVED_RETRIES;

  /** Adds a fraction of a retry to the budget for a first attempt that was started. */
  public void firstAttemptStarted() {
    tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_FIRST_ATTEMPT);
  }

  /** Returns whether the budget covers a retry after an attempt with the given outcome. */
  boolean permits(Outcome lastOutcome) {
    return tokens >= cost(lastOutcome);
  }

  /** Charges the budget for a retry after an attempt with the given outcome. */
  public void retryStarted(Outcome lastOutcome) {
    tokens -= cost(lastOutcome);
  }

  private static double cost(Outcome lastOutcome) {
    return lastOutcome.provesNotExecuted() ? 0 : 1;
  }
}
