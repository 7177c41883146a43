package merlinrouter.node.downstream;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The node's own health check, which fails from the start of a drain on. */
final class HealthCheck {
  private final RequestHandler handler;
  private final ConnectionRegistry registry;

  HealthCheck(RequestHandler handler, ConnectionRegistry registry) {
    this.handler = handler;
    this.registry = registry;
  }

  /**
   * The status of the response to a request of the health check's path.
   *
   * @throws InvalidRequestException if the method is wrong
   */
  HttpResponseStatus status(HttpMethod method) throws InvalidRequestException {
    if (!method.equals(HttpMethod.GET)) {
      throw new InvalidRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
    }
    boolean ready = handler.isReady() && !registry.isDraining();
    return ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }
}
