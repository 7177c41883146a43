package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpMethod;
import merlinrouter.model.ClientRequest;
import merlinrouter.node.request.RequestTimeline;

/**
 * A valid request without its body.
 *
 * @param request the attributes that the gateway bases its decisions on
 * @param timeoutNanos how long its client waits, counted from the arrival of the request
 * @param method the HTTP method that it is forwarded with
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
   * Creates the request's timeline, and records that the request was read now.
   *
   * @param arrivedAtNanos when it arrived, in {@link System#nanoTime}
   */
  RequestTimeline newTimeline(long arrivedAtNanos) {
    RequestTimeline timeline = new RequestTimeline(arrivedAtNanos, timeoutNanos);
    timeline.reach(RequestTimeline.Stage.READ);
    return timeline;
  }
}
