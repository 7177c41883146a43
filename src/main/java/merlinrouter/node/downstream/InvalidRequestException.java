package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown if a request is rejected before the gateway accepts it. The message is the body of the
 * response.
 */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  /** Creates an exception without a stack trace, because clients may cause many of them. */
  InvalidRequestException(HttpResponseStatus status, String reason) {
    super(reason, null, false, false);
    this.status = status;
  }

  static InvalidRequestException badRequest(String reason) {
    return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, reason);
  }

  /** Returns the status of the response. */
  HttpResponseStatus status() {
    return status;
  }
}
