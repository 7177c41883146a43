package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How a node applies the endpoint lists and updates that discovery sends. */
@Timeout(120)
class EndpointListTest extends NodeFixture {
  @Test
  void watchThatEndsResumesAfterItsLastRevision() throws Exception {
    ScriptedServer moved = startOkServer("new");
    ScriptedServer old = startOkServer("old");
    String update =
        updateJson(
            8, endpointJson("s-0", moved.address(), "Ready", System.currentTimeMillis() - 60_000));
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    discovery =
        startServer(
            request -> {
              if (request.startLine().contains("after=5")) {
                request.respond(UNCHANGED_LIST);
                proceed.join();
                request.respond(ScriptedServer.chunk(update + "\n") + "0\r\n\r\n");
              }
            });
    EdgeNode node = startNode(old);
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    assertEquals("old", ScriptedServer.readMessage(client).body());
    proceed.complete(null);
    assertTrue(discovery.awaitRequest().startLine().contains("watch=1&after=5"));
    assertTrue(discovery.awaitRequest().startLine().contains("watch=1&after=8"));
    // The endpoint has restarted at another address: the connection to the old one is closed.
    assertNotNull(old.endedConnections.poll(60, TimeUnit.SECONDS));
    writeKeyedRequest(client, "t-2");
    assertEquals("new", ScriptedServer.readMessage(client).body());
  }

  /**
   * If the address still belonged to the previous endpoint's id too, the new endpoint would get
   * requests under that id after it has announced its drain.
   */
  @Test
  void addressBelongsToTheEndpointThatStartedThereLast() throws Exception {
    ScriptedServer server = startOkServer("x");
    List<CompletableFuture<Void>> proceed =
        List.of(new CompletableFuture<>(), new CompletableFuture<>());
    discovery =
        startServer(
            request -> {
              for (int i = 0; i < 2; i++) {
                proceed.get(i).join();
                String update =
                    updateJson(
                        8 + i,
                        endpointJson(
                            "s-1",
                            server.address(),
                            i == 0 ? "Ready" : "Terminating",
                            System.currentTimeMillis() - 60_000));
                request.respond(
                    i == 0 ? watchResponse(update) : ScriptedServer.chunk(update + "\n"));
              }
            });
    EdgeNode node = startNode(server);
    for (int i = 0; i < 2; i++) {
      assertEquals("200", requestStatus(connect(node), "t-" + i));
      server.awaitRequest();
      proceed.get(i).complete(null);
      assertNotNull(
          server.endedConnections.poll(60, TimeUnit.SECONDS),
          "connections to the previous endpoint must be closed");
    }
    Socket client = connect(node);
    writeRequest(client, "POST /api", requestHeaders("t-2", "order", "1500"), "");
    ScriptedServer.Message rejection = ScriptedServer.readMessage(client);
    assertEquals("429", status(rejection));
    double retryAfter = Double.parseDouble(rejection.headers().get("retry-after"));
    assertTrue(
        retryAfter > 0 && retryAfter <= 0.5,
        "Retry-After must be above 0 s and at most the 0.5 s that a client waits");
    assertTrue(server.received.isEmpty());
  }

  /**
   * Guards against requests to an endpoint that drains: its start was missed, or its predecessor at
   * the address is listed once more, so that its address belonged to the predecessor's id.
   */
  @ParameterizedTest
  @ValueSource(strings = {"s-1", "s-1 s-0"})
  void addressOfDrainingEndpointDoesNotBelongToItsPredecessor(String listed) throws Exception {
    ScriptedServer server = startOkServer("x");
    long startedMillis = System.currentTimeMillis() - 60_000;
    String draining = endpointJson("s-1", server.address(), "Terminating", startedMillis);
    String predecessor = readyEndpointJson("s-0", server.address());
    String[] entries =
        listed.equals("s-1") ? new String[] {draining} : new String[] {draining, predecessor};
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    discovery =
        startServer(
            request -> {
              request.respond(UNCHANGED_LIST);
              proceed.join();
              request.respond(ScriptedServer.chunk(updateJson(8, entries) + "\n"));
            });
    EdgeNode node = startNode(server);
    assertEquals("200", requestStatus(connect(node), "t-1"));
    server.awaitRequest();
    proceed.complete(null);
    assertNotNull(
        server.endedConnections.poll(60, TimeUnit.SECONDS),
        "connections to the previous endpoint must be closed");
    Socket client = connect(node);
    writeRequest(client, "POST /api", requestHeaders("t-2", "order", "1500"), "");
    assertEquals("429", readStatus(client));
    assertTrue(server.received.isEmpty(), "a request was sent to the draining endpoint");
  }

  /** Closing a watch does not stop the decoding of bytes that were already read. */
  @Test
  void errorResponseOfDiscoveryIsNotAnEndpointList() throws Exception {
    ScriptedServer server = startOkServer("x");
    String list = fullListJson(9) + "\n";
    discovery =
        startServer(
            request ->
                request.respond(
                    "HTTP/1.1 404 No\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
    EdgeNode node = startNode(server);
    discovery.awaitRequest();
    assertTrue(
        discovery.awaitRequest().startLine().contains("after=5"),
        "the revision in the body of an error response was used");
    assertEquals("200", requestStatus(connect(node), "t-1"));
  }
}
