package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that is rejected as it stands; the message is the response's body. */
final class InvalidRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  /** Has no stack trace: clients may cause many of these. */
  InvalidRequestException(HttpResponseStatus status, String reason) {
    super(reason, null, false, false);
    this.status = status;
  }

  static InvalidRequestException badRequest(String reason) {
    return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, reason);
  }

  /** The status of the response. */
  HttpResponseStatus status() {
    return status;
  }
}
