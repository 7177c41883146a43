package merlinrouter.retry;

import merlinrouter.model.Endpoint;
import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;

/**
 * Records whether a request may have been executed, and the start and endpoint of the first attempt
 * that may have executed it.
 *
 * <p>Endpoints drop duplicates of a request with an idempotency key within a scope that this first
 * attempt determines, and within a window that begins at its start.
 */
public final class ExecutionHistory {
  private boolean possiblyExecuted;
  private long firstExecutionNanos;
  private Endpoint firstEndpoint;

  /**
   * Records an attempt that may have been executed; only the first one counts.
   *
   * @param startedAtNanos when it was started
   * @param endpoint the endpoint that it was sent to
   */
  public void recordPossibleExecution(long startedAtNanos, Endpoint endpoint) {
    if (!possiblyExecuted) {
      possiblyExecuted = true;
      firstExecutionNanos = startedAtNanos;
      firstEndpoint = endpoint;
    }
  }

  /** Returns whether any attempt may have been executed. */
  public boolean isPossiblyExecuted() {
    return possiblyExecuted;
  }

  /** Returns the start of the first attempt that may have been executed. */
  long firstExecutionNanos() {
    return firstExecutionNanos;
  }

  /** Returns whether retries are restricted to the endpoints of a zone or cell. */
  public boolean isBoundToScope(RequestClass requestClass) {
    return possiblyExecuted
        && requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && !requestClass.deduplicationScope().coversAllEndpoints();
  }

  /**
   * Returns whether an endpoint drops duplicates of the first attempt that may have been executed;
   * there must have been one.
   */
  public boolean isInScope(RequestClass requestClass, Endpoint endpoint) {
    return requestClass.deduplicationScope().contains(firstEndpoint, endpoint);
  }
}
