package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A drain with requests in flight and clients that are still connecting. */
@Timeout(120)
class GracefulShutdownTest extends NodeFixture {
  @Test
  void drainAnswersAcceptedRequestsAndClosesConnections() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer server = startOkServer("x", proceed);
    EdgeNode node = startNode(server);
    Socket busy = connect(node);
    writeKeyedRequest(busy, "t-1");
    server.awaitRequest();
    CompletableFuture<Void> drained = node.drain();
    // Clients keep connecting for a while after SIGTERM, and their requests must get responses.
    Socket late = connect(node);
    writeKeyedRequest(late, "t-2");
    server.awaitRequest();
    assertFalse(drained.isDone());
    proceed.complete(null);
    for (Socket client : List.of(busy, late)) {
      ScriptedServer.Message response = ScriptedServer.readMessage(client);
      assertEquals("200", status(response));
      assertEquals("close", response.headers().get("connection"));
      assertNull(ScriptedServer.readMessage(client));
    }
    drained.get(60, TimeUnit.SECONDS);
    // The kernel closes a listening socket only when the selector next runs: until then clients may
    // connect.
    assertThrows(
        IOException.class,
        () -> {
          while (true) {
            connect(node).close();
          }
        });
  }
}
