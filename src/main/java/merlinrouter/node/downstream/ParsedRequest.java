package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpMethod;
import merlinrouter.model.ClientRequest;
import merlinrouter.node.request.RequestTimeline;

/**
 * A valid request, apart from its body.
 *
 * @param request what the gateway decides on
 * @param timeoutNanos how long its client waits from its arrival on
 * @param method the method it is forwarded with
 * @param uri path and query, as received
 * @param idempotencyKey null if the client sent none
 */
record ParsedRequest(
    ClientRequest request,
    long timeoutNanos,
    HttpMethod method,
    String uri,
    String idempotencyKey) {

  /**
   * Starts the request's timeline; the request counts as read now.
   *
   * @param arrivedAtNanos when it arrived, in {@link System#nanoTime}
   */
  RequestTimeline timelineOnceRead(long arrivedAtNanos) {
    RequestTimeline timeline = new RequestTimeline(arrivedAtNanos, timeoutNanos);
    timeline.reach(RequestTimeline.Stage.READ);
    return timeline;
  }
}
