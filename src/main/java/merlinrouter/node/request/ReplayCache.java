package merlinrouter.node.request;

import java.util.LinkedHashMap;
import java.util.Map;
import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;

/**
 * The ids of the latest requests that may have been executed and must not be executed again. An id
 * is used by one request only, so one that comes again after its request has ended is a replay: a
 * client or a proxy has sent the same request once more, for example after it disconnected. Used on
 * the event loop only.
 */
public final class ReplayCache {
  /** Some 4 MB with ids of the maximum length. */
  static final int MAX_IDS = 16_384;

  private static final long NEVER_HARMLESS = 0;

  /** Until when a replay is harmless, by the gateway's clock; the oldest id is first. */
  private final Map<String, Long> harmlessUntilNanosById = new LinkedHashMap<>();

  /** Records a request that has ended, unless it was not executed or is idempotent. */
  public void recordEnded(OpenRequest request, RequestClass requestClass) {
    if (!request.isPossiblyExecuted() || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
      return;
    }
    harmlessUntilNanosById.putIfAbsent(request.id(), harmlessUntilNanos(request, requestClass));
    if (harmlessUntilNanosById.size() > MAX_IDS) {
      harmlessUntilNanosById.remove(harmlessUntilNanosById.keySet().iterator().next());
    }
  }

  /**
   * Returns until when a replay is harmless: within its deduplication window, if every endpoint
   * drops duplicates of it. One that only some endpoints drop might be sent to another one.
   */
  private static long harmlessUntilNanos(OpenRequest request, RequestClass requestClass) {
    boolean dropped =
        requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && requestClass.deduplicationScope().coversAllEndpoints();
    return dropped
        ? request.firstExecutionNanos() + requestClass.deduplicationWindowNanos()
        : NEVER_HARMLESS;
  }

  /**
   * Returns whether a request must not be executed: one with its id may have been, and an attempt
   * that starts as late as its deadline would have an effect again.
   */
  public boolean forbids(OpenRequest request) {
    Long harmlessUntilNanos = harmlessUntilNanosById.get(request.id());
    return harmlessUntilNanos != null
        && request.clientRequest().deadlineNanos() >= harmlessUntilNanos;
  }
}
