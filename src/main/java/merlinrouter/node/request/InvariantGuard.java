package merlinrouter.node.request;

import merlinrouter.model.Idempotency;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.Nanos;

/**
 * The last check before an attempt is started or a client connection is closed. An action that
 * would break an invariant of the service is not carried out; it is counted and logged as a
 * violation, which is a bug: the deciding code should not have requested it. Used on the event loop
 * only.
 */
public final class InvariantGuard {
  private final NodeLog log;

  /** Creates a guard that logs violations. */
  public InvariantGuard(NodeLog log) {
    this.log = log;
  }

  /**
   * Returns whether an attempt of a request may start.
   *
   * @param nowNanos the time, by the gateway's clock
   */
  public boolean mayStartAttempt(OpenRequest request, RequestClass requestClass, long nowNanos) {
    String violation = findViolation(request, requestClass, nowNanos);
    if (violation != null) {
      log.violation(request.id(), violation);
    }
    return violation == null;
  }

  private static String findViolation(
      OpenRequest request, RequestClass requestClass, long nowNanos) {
    if (request.isAttemptInFlight()) {
      return "an attempt would start while another is in flight";
    }
    if (!request.isPossiblyExecuted()) {
      return null;
    }
    if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
      return "a request that is not idempotent and may have been executed would be retried";
    }
    long ageNanos = nowNanos - request.firstExecutionNanos();
    if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && ageNanos > requestClass.deduplicationWindowNanos()) {
      return "a request with an idempotency key would be retried "
          + ageNanos / Nanos.PER_MILLI
          + " ms after it may have been executed first, its deduplication window is "
          + requestClass.deduplicationWindowNanos() / Nanos.PER_MILLI
          + " ms";
    }
    return null;
  }

  /**
   * Returns whether a client connection may be closed on the node's initiative, which is not
   * allowed while a request is open on it.
   *
   * @param openRequest the request that is open on it; null if there is none
   * @param reason why it would be closed
   */
  public boolean mayClose(OpenRequest openRequest, String reason) {
    if (openRequest == null) {
      return true;
    }
    log.violation(openRequest.id(), "its connection would be closed without a response, " + reason);
    return false;
  }
}
