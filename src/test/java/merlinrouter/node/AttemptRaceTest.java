package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An endpoint sends bytes, closes its connection or forgets a key as an attempt is to be sent. */
@Timeout(120)
class AttemptRaceTest extends EventLoopFixture {
  /** The stall is longer than the pause before a connection is used again, and hides the bytes. */
  @Test
  void secondResponseDuringEventLoopStallIsNotTakenForTheNextOne() throws Exception {
    CompletableFuture<ScriptedServer.Message> responded = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              request.respond(ScriptedServer.okResponse("", request.requestId()));
              responded.complete(request);
            });
    EdgeNode node = startNode(server);
    assertEquals("200", requestStatus(connect(node), "t-1"));
    awaitOnEventLoop(node, () -> node.pool().idleConnectionCount() == 1);
    CompletableFuture<String> response =
        callOnEventLoop(
            node,
            () -> {
              Thread.sleep(50);
              responded.join().respond(ScriptedServer.okResponse("", "t-1"));
              return submitRequest(node, "t-2");
            });
    assertEquals("t-2", response.get());
  }

  /** The sweep runs once a second; the endpoint may close the connection long before it. */
  @Test
  void connectionIdleForTooLongIsNotUsedBeforeTheSweep() throws Exception {
    ScriptedServer server = startEchoServer();
    EdgeNode node =
        startNode(
            withSetting(
                configJson(readyEndpointJson("s-0", server.address())),
                "keepalive-ns",
                400_000_000L));
    assertEquals("200", requestStatus(connect(node), "t-1"));
    Socket firstConnection = server.awaitRequest().connection();
    awaitReusableConnection(node);
    CompletableFuture<String> response =
        callOnEventLoop(
            node,
            () -> {
              Thread.sleep(250);
              return submitRequest(node, "t-2");
            });
    assertEquals("t-2", response.get());
    assertFalse(
        server.awaitRequest().connection() == firstConnection,
        "it was sent on the connection that the endpoint may close");
  }

  /** A retry reaches the endpoint only once its connect is established. */
  @Test
  void retryIsNotSentIfItsConnectMayOutlastTheDeduplicationWindow() throws Exception {
    ScriptedServer server = startServer(request -> request.connection().close());
    EdgeNode node =
        startNode(
            withSetting(
                configJson(readyEndpointJson("s-0", server.address())),
                "connect-timeout-ns",
                40_000_000_000L));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    assertEquals(
        "429", readStatus(client), "rejected at once, since all endpoints drop duplicates");
    assertEquals(1, server.received.size());
  }
}
