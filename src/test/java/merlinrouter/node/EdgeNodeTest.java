package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Forwarding between clients and scripted servers. Each test waits for events, never for a fixed
 * time.
 */
@Timeout(120)
class EdgeNodeTest extends NodeFixture {
  private static final int LARGE_BODY_BYTES = 50_000;

  /** Of 6 bytes each; the head is just below its maximum size. */
  private static final int HEAD_LINES = 1_300;

  private static final char FIRST_VISIBLE_CHARACTER = '!';
  private static final char LAST_BYTE = 255;

  @Test
  void forwardsRequestsAndResponsesOverOneConnection() throws Exception {
    ScriptedServer server =
        startServer(
            request ->
                request.respond(ScriptedServer.okResponse("X-Units-Charged: 3\r\n", "done")));
    Socket client = connect(startNode(server));
    for (String id : List.of("t-1", "t-2")) {
      writeKeyedRequest(client, id);
      ScriptedServer.Message response = ScriptedServer.readMessage(client);
      assertEquals("200", status(response));
      assertEquals("done", response.body());
      ScriptedServer.Message sent = server.awaitRequest();
      assertEquals("POST /api?slot=4 HTTP/1.1", sent.startLine());
      assertEquals("book", sent.body());
      assertEquals(id, sent.requestId());
      assertEquals("key-" + id, sent.headers().get("idempotency-key"));
      assertTrue(Long.parseLong(sent.headers().get("x-expires-in-ms")) <= 20_000);
    }
    assertTrue(server.endedConnections.isEmpty(), "the second request must reuse the connection");
  }

  /**
   * Guards against a query that reaches an endpoint as another one: bytes above 127, as in a UTF-8
   * text that is not percent-encoded, were each forwarded as two bytes.
   */
  @Test
  void queryIsForwardedByteForByte() throws Exception {
    StringBuilder query = new StringBuilder("/api?");
    for (char each = FIRST_VISIBLE_CHARACTER; each <= LAST_BYTE; each++) {
      query.append(each);
    }
    ScriptedServer server = startOkServer("x");
    Socket client = connect(startNode(server));
    String head = requestHead("GET " + query, requestHeaders("t-1", "lookup", "20000"));
    client.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    assertEquals("200", readStatus(client));
    assertEquals("GET " + query + " HTTP/1.1", server.awaitRequest().startLine());
  }

  /** Unlike later requests, the first one waits until its connection is established. */
  @Test
  void theFirstRequestOnANewConnectionIsServed() throws Exception {
    assertEquals("200", requestStatus(connect(startNode(startOkServer("x"))), "t-1"));
  }

  @Test
  void rejectedAttemptsAreRetriedOnAnotherEndpoint() throws Exception {
    ScriptedServer full =
        startServer(
            request ->
                request.respond(
                    "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
    ScriptedServer gone = startServer(request -> {});
    gone.close();
    ScriptedServer good = startOkServer("x");
    Socket client = connect(startNode(full, gone, good));
    for (int i = 0; i < 8; i++) {
      assertEquals("200", requestStatus(client, "t-" + i));
    }
  }

  @Test
  void responseWithoutLengthIsForwardedWhenItsConnectionEndsInOrder() throws Exception {
    ScriptedServer server =
        startServer(
            request -> {
              request.respond("HTTP/1.1 200 OK\r\n\r\nfirst part, ");
              request.respond("and the rest");
              request.connection().close();
            });
    Socket client = connect(startNode(server));
    for (String id : List.of("t-1", "t-2")) {
      writeRequest(client, "POST /api", requestHeaders(id, "strict", "20000"), "book");
      ScriptedServer.Message response = ScriptedServer.readMessage(client);
      assertEquals("200", status(response));
      assertEquals("first part, and the rest", response.body());
    }
  }

  /** The request is failed and not rejected, because a client may safely retry a rejected one. */
  @Test
  void nonIdempotentRequestIsNotRetriedIfItMayHaveBeenExecuted() throws Exception {
    for (String scripted :
        List.of(
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            "",
            "HTTP/1.1 200 OK\r\n\r\nno end told")) {
      ScriptedServer server =
          startServer(
              request -> {
                request.respond(scripted);
                if (!scripted.startsWith("HTTP/1.1 50")) {
                  // A reset: an orderly end would complete a response without length.
                  request.connection().setSoLinger(!scripted.contains("Content-Length"), 0);
                  request.connection().close();
                }
              });
      Socket client = connect(startNode(server));
      writeRequest(client, "POST /api", requestHeaders("t-1", "strict", "20000"), "book");
      assertEquals("502", readStatus(client), scripted);
      server.awaitRequest();
      assertTrue(server.received.isEmpty(), "the request must be sent only once: " + scripted);
    }
  }

  /** Guards against a limit on memory that refuses a head within the maximum of 8,192 bytes. */
  @Test
  void headOfManyShortLinesIsServed() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    Map<String, String> headers = requestHeaders("t-1", "strict", "20000");
    String head = requestHead("POST /api", headers) + "a: 1\r\n".repeat(HEAD_LINES);
    Socket client = connect(node);
    writeText(client, head + "Content-Length: 4\r\n\r\nbook");
    assertEquals("200", readStatus(client));
    assertEquals(0, node.loop().submit(node::usedRequestBytes).get());
  }

  /** If a body were counted twice, large requests would be refused at half of the budget. */
  @Test
  void bodyOfAnOpenRequestIsCountedOnceAndNotAfterItsEnd() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer server = startOkServer("x", proceed);
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    String body = "b".repeat(LARGE_BODY_BYTES);
    writeRequest(client, "POST /api", requestHeaders("t-1", "strict", "20000"), body);
    server.awaitRequest();
    assertEquals(LARGE_BODY_BYTES, node.loop().submit(node::usedRequestBytes).get());
    proceed.complete(null);
    assertEquals("200", readStatus(client));
    assertEquals(0, node.loop().submit(node::usedRequestBytes).get());
  }

  /**
   * Guards against an attempt that never ends: its client would get no response, and its connection
   * would stay open.
   */
  @Test
  void silentEndpointTimesOutAndItsConnectionIsClosed() throws Exception {
    ScriptedServer server = startServer(request -> {});
    Socket client = connect(startNode(server));
    writeRequest(client, "POST /api", requestHeaders("t-1", "strict", "2500"), "book");
    assertEquals("502", readStatus(client));
    server.awaitRequest();
    assertNotNull(
        server.endedConnections.poll(60, TimeUnit.SECONDS), "the silent connection must be closed");
  }
}
