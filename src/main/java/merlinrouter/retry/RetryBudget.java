package merlinrouter.retry;

/**
 * Limits retries to a part of the first attempts, so that retries cannot multiply the load of a
 * fleet in trouble. A retry of an attempt that was surely not executed is free.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_FIRST_ATTEMPT = 0.2;
  private static final double MAX_SAVED_RETRIES = 20;

  private double tokens = MAX_SAVED_RETRIES;

  /** Earns a part of a retry by a first attempt. */
  public void firstAttemptStarted() {
    tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_FIRST_ATTEMPT);
  }

  /** Whether a retry can be paid for. */
  boolean permits(boolean previousNotExecuted) {
    return tokens >= cost(previousNotExecuted);
  }

  /** Pays for a retry. */
  public void retryStarted(boolean previousNotExecuted) {
    tokens -= cost(previousNotExecuted);
  }

  private static double cost(boolean previousNotExecuted) {
    return previousNotExecuted ? 0 : 1;
  }
}
