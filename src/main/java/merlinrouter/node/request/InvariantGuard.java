package merlinrouter.node.request;

import merlinrouter.model.Idempotency;
import merlinrouter.model.Outcome;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.settings.RequestClass;

/**
 * The last check before an attempt begins, a request is repeated or a client's connection is
 * closed. What would break a rule is not carried out, counted as a violation and told with the
 * request's id: a violation is a fault of this program, since whoever decides should not have asked
 * for it. Used on the event loop only.
 */
public final class InvariantGuard {
  private final NodeLog log;

  public InvariantGuard(NodeLog log) {
    this.log = log;
  }

  /**
   * Whether an attempt may begin.
   *
   * @param request what is to be sent
   * @param spec its class
   * @param now the node's clock, in nanoseconds
   */
  public boolean maySend(OpenRequest request, RequestClass spec, long now) {
    String broken = null;
    if (request.attemptOut) {
      broken = "an attempt would begin while another is out";
    } else if (request.mayHaveRun && spec.idempotency() == Idempotency.NON_IDEMPOTENT) {
      broken = "an unsafe request that may have run would be sent again";
    } else if (request.mayHaveRun
        && spec.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && now - request.firstMayHaveRunAt > spec.deduplicationWindowNanos()) {
      broken = "a keyed request would be sent again behind its key's window";
    }
    if (broken != null) {
      log.violation(request.request.id(), broken);
    }
    return broken == null;
  }

  /**
   * Notes the end of an attempt that began at {@code begunAt} of the node's clock, in nanoseconds.
   */
  public void attemptEnded(OpenRequest request, Outcome outcome, long begunAt) {
    if (!outcome.provesNotExecuted() && !request.mayHaveRun) {
      request.mayHaveRun = true;
      request.firstMayHaveRunAt = begunAt;
    }
  }

  /** Whether a client's connection may be closed unasked: not over a request that was read. */
  public boolean mayClose(OpenRequest open, String why) {
    if (open == null) {
      return true;
    }
    log.violation(open.request.id(), "its connection would be closed without an answer, " + why);
    return false;
  }
}
