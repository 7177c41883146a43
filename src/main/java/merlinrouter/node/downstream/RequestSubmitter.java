package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.request.ResponseSink;

/** Parses the complete requests of one connection and submits them to the node. */
final class RequestSubmitter {
  private final RequestHandler handler;
  private final RequestParser parser;
  private final ConnectionState state;

  /**
   * Creates a submitter.
   *
   * @param state the connection's state, which records a request as open before it is submitted
   */
  RequestSubmitter(RequestHandler handler, RequestParser parser, ConnectionState state) {
    this.handler = handler;
    this.parser = parser;
    this.state = state;
  }

  /**
   * Submits a request. The response may be written before this returns.
   *
   * @param body the body, which the caller still owns if this throws
   * @param arrivedNanos the earliest time at which the request's first byte may have arrived
   * @param responseSink receives the response
   * @throws InvalidRequestException if the request is invalid, or its id is that of another one
   *     that is open or must not be executed again
   */
  void submit(HttpRequest head, ByteBuf body, long arrivedNanos, ResponseSink responseSink)
      throws InvalidRequestException {
    ParsedRequest parsed = parser.parse(head, handler.toGatewayTime(arrivedNanos));
    OpenRequest request =
        new OpenRequest(
            parsed.request(),
            parsed.method(),
            parsed.uri(),
            parsed.idempotencyKey(),
            body,
            responseSink,
            parsed.newTimeline(arrivedNanos));
    state.setOpenRequest(request);
    if (!accept(request)) {
      throw new InvalidRequestException(
          HttpResponseStatus.CONFLICT, "a request of this id is open or was handled");
    }
  }

  private boolean accept(OpenRequest request) {
    boolean accepted = false;
    try {
      accepted = handler.accept(request);
    } finally {
      if (!accepted) {
        state.clearOpenRequest();
      }
    }
    return accepted;
  }
}
