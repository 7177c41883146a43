package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The node's own health check, which fails once a drain has started. */
final class HealthCheck {
  private final RequestHandler handler;
  private final ConnectionRegistry registry;

  HealthCheck(RequestHandler handler, ConnectionRegistry registry) {
    this.handler = handler;
    this.registry = registry;
  }

  /**
   * Returns the status of the response to a request for the health check's path.
   *
   * @throws InvalidRequestException if the method is not GET
   */
  HttpResponseStatus status(HttpMethod method) throws InvalidRequestException {
    if (!method.equals(HttpMethod.GET)) {
      throw new InvalidRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
    }
    boolean ready = handler.isReady() && !registry.isDraining();
    return ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }
}
