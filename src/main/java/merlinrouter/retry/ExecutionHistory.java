package merlinrouter.retry;

import merlinrouter.model.Endpoint;
import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;

/**
 * Whether a request may have been executed, since when, and on which endpoint first.
 *
 * <p>Endpoints drop duplicates of a request with an idempotency key in a scope and for a time that
 * begin with the first attempt that may have been executed.
 */
public final class ExecutionHistory {
  private boolean possiblyExecuted;
  private long firstExecutionNanos;
  private Endpoint firstEndpoint;

  /**
   * Records an attempt that may have been executed; only the first one counts.
   *
   * @param startedAtNanos when it was started
   * @param endpoint where it went
   */
  public void recordPossibleExecution(long startedAtNanos, Endpoint endpoint) {
    if (!possiblyExecuted) {
      possiblyExecuted = true;
      firstExecutionNanos = startedAtNanos;
      firstEndpoint = endpoint;
    }
  }

  /** Whether an attempt may have been executed. */
  public boolean isPossiblyExecuted() {
    return possiblyExecuted;
  }

  /** When the first attempt that may have been executed was started. */
  long firstExecutionNanos() {
    return firstExecutionNanos;
  }

  /** Whether another attempt may go only where duplicates of the first one are dropped. */
  public boolean isBoundToScope(RequestClass requestClass) {
    return possiblyExecuted
        && requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && !requestClass.deduplicationScope().coversAllEndpoints();
  }

  /** Whether an endpoint drops duplicates of the first attempt that may have been executed. */
  public boolean isInScope(RequestClass requestClass, Endpoint endpoint) {
    return requestClass.deduplicationScope().contains(firstEndpoint, endpoint);
  }
}
