package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import merlinrouter.node.request.ResponseSink;

/** Writes the final response of the request that is open on a client connection. */
final class ClientResponseSink implements ResponseSink {
  private final ClientConnection connection;
  private final ClientPresence presence;

  ClientResponseSink(ClientConnection connection, ClientPresence presence) {
    this.connection = connection;
    this.presence = presence;
  }

  @Override
  public void served(ByteBuf content) {
    connection.respond(HttpResponseStatus.OK, content.retain(), 0);
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
  public boolean readAndCheckDisconnected() {
    return presence.readAndCheckDisconnected();
  }
}
