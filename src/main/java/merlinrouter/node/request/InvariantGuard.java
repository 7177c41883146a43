package merlinrouter.node.request;

import merlinrouter.model.Idempotency;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.settings.RequestClass;

/**
 * The last check before an attempt is started or a client connection is closed. An action that
 * would break a rule of the service is not carried out; it is counted and logged as a violation,
 * which is a fault of this program, since whatever decides should not have asked for it. Used on
 * the event loop only.
 */
public final class InvariantGuard {
  private final NodeLog log;

  /** Creates a guard that logs violations. */
  public InvariantGuard(NodeLog log) {
    this.log = log;
  }

  /**
   * Whether an attempt of a request may start.
   *
   * @param nowNanos the time, by the gateway's clock
   */
  public boolean mayStartAttempt(OpenRequest request, RequestClass requestClass, long nowNanos) {
    String violation = violationOfAttempt(request, requestClass, nowNanos);
    if (violation != null) {
      log.violation(request.id(), violation);
    }
    return violation == null;
  }

  private static String violationOfAttempt(
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
      return "a request with an idempotency key would be retried after its deduplication window";
    }
    return null;
  }

  /**
   * Whether a client connection may be closed on the node's initiative: not over a request that has
   * been read.
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
