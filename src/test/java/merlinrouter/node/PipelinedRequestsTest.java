package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that were sent at once and read, on connections that are due to close. */
@Timeout(120)
class PipelinedRequestsTest extends NodeFixture {
  /** A sixth of these may be held by idle connections. */
  private static final int SOCKETS = 60;

  private static final int IDLE_CONNECTIONS = SOCKETS / 6;

  private final CompletableFuture<Void> proceed = new CompletableFuture<>();

  /** Starts a server that responds to the first of the two requests once told to proceed. */
  private ScriptedServer startServer() throws Exception {
    return startServer(
        request -> {
          if (request.requestId().equals("t-1")) {
            proceed.join();
          }
          request.respond(ScriptedServer.okResponse("", "x"));
        });
  }

  private static String keyedRequest(String requestId) {
    return requestHead("POST /api?slot=4", requestHeaders(requestId, "order", "20000"))
        + "Content-Length: 0\r\n\r\n";
  }

  /** Sends two requests at once, and waits until the first one is in flight. */
  private Socket sendTwoRequests(EdgeNode node, ScriptedServer server) throws Exception {
    Socket client = connect(node);
    writeText(client, keyedRequest("t-1") + keyedRequest("t-2"));
    server.awaitRequest();
    return client;
  }

  private static void assertBothServedBeforeTheClose(Socket client) throws Exception {
    ScriptedServer.Message first = ScriptedServer.readMessage(client);
    assertEquals("200", status(first));
    assertNull(first.headers().get("connection"), "the first response announced a close");
    ScriptedServer.Message second = ScriptedServer.readMessage(client);
    assertEquals("200", status(second));
    assertEquals("close", second.headers().get("connection"));
    assertNull(ScriptedServer.readMessage(client));
  }

  /** The connection closed with the first response, and the second request was lost. */
  @Test
  void aDrainClosesAConnectionAfterAllRequestsReadOnIt() throws Exception {
    ScriptedServer server = startServer();
    EdgeNode node = startNode(server);
    Socket client = sendTwoRequests(node, server);
    CompletableFuture<Void> drained = node.drain();
    node.loop().submit(() -> {}).get();
    proceed.complete(null);
    assertBothServedBeforeTheClose(client);
    drained.get(60, TimeUnit.SECONDS);
  }

  /** As above, where clients that ask once and keep their connections hold all places for them. */
  @Test
  void aConnectionClosesForIdleOnesAfterAllRequestsReadOnIt() throws Exception {
    ScriptedServer server = startServer();
    EdgeNode node =
        startNode(
            withSetting(
                configJson(readyEndpointJson("s-0", server.address())), "sockets", SOCKETS));
    Socket client = sendTwoRequests(node, server);
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
      Socket idle = connect(node);
      assertEquals("200", requestStatus(idle, "i-" + i));
    }
    proceed.complete(null);
    assertBothServedBeforeTheClose(client);
  }
}
