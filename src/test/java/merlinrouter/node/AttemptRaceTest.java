package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests attempts that are about to be sent when the endpoint has sent stray bytes, may close the
 * connection, or may have dropped the request's idempotency key.
 */
@Timeout(120)
class AttemptRaceTest extends EventLoopFixture {
  /**
   * The event-loop stall is longer than the quiet period before a connection is reused, and a
   * second response arrives unread during it.
   */
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

  /**
   * The endpoint closes idle connections after 400 ms, so one may be reused for 200 ms. The sweep
   * of idle connections, once a second, is too late for that.
   */
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
        "request t-2 was sent on the connection that the endpoint may close");
  }

  /**
   * A retry arrives at the endpoint only after its connect, which may take 40 s here, while the
   * endpoint keeps the idempotency key for 30 s.
   */
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
        "429",
        readStatus(client),
        "rejected immediately: a retry by the client is harmless, all endpoints drop duplicates");
    assertEquals(1, server.received.size());
  }
}
