package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import merlinrouter.node.request.ResponseSink;

/** Maps the outcome of a client connection's open request to an HTTP response. */
final class ClientResponseSink implements ResponseSink {
  private final ClientConnection connection;
  private final ClientPresence presence;

  ClientResponseSink(ClientConnection connection, ClientPresence presence) {
    this.connection = connection;
    this.presence = presence;
  }

  @Override
  public void served(ByteBuf body) {
    connection.respond(HttpResponseStatus.OK, body.retain(), 0);
  }

  @Override
  public void rejected(long retryAfterNanos) {
    connection.respond(
        retryAfterNanos > 0
            ? HttpResponseStatus.TOO_MANY_REQUESTS
            : HttpResponseStatus.SERVICE_UNAVAILABLE,
        Unpooled.EMPTY_BUFFER,
        retryAfterNanos);
  }

  @Override
  public void failed() {
    connection.respond(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
  }

  @Override
  public void failedInternally() {
    connection.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, Unpooled.EMPTY_BUFFER, 0);
  }

  @Override
  public boolean readAndCheckDisconnected() {
    return presence.readAndCheckDisconnected();
  }
}
