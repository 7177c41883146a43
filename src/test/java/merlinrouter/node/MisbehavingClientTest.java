package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clients that send invalid, too large or incomplete requests, or nothing. */
@Timeout(120)
class MisbehavingClientTest extends NodeFixture {
  private static String keyedRequestHead(String requestId) {
    return requestHead("POST /api", requestHeaders(requestId, "order", "20000"));
  }

  /**
   * Asserts that the node sends an error response and closes the connection. A reset is accepted as
   * well: it may replace the response if the node closes the connection with bytes unread.
   */
  private static void assertRejected(Socket client, String status, String description)
      throws IOException {
    try {
      ScriptedServer.Message response = ScriptedServer.readMessage(client);
      assertEquals(status, status(response), description);
      assertEquals("close", response.headers().get("connection"), description);
      assertNull(ScriptedServer.readMessage(client), description);
    } catch (SocketException e) {
      assertTrue(e.getMessage().contains("reset"), description + ": " + e);
    }
  }

  /** Guards against a request target that is forwarded without its last byte. */
  @ParameterizedTest
  @ValueSource(strings = {"\t", "\u000b", "\f", "\r"})
  void requestLineWithOtherWhiteSpaceThanSpacesIsRejected(String whiteSpace) throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    for (String line :
        List.of("POST /api?slot=4# HTTP/1.1", "POST#/api HTTP/1.1", "POST /api#HTTP/1.1")) {
      String head = keyedRequestHead("t-1").replaceFirst("POST.*", line.replace("#", whiteSpace));
      Socket client = connect(node);
      writeText(client, "\r\n" + head + "\r\n");
      assertRejected(client, "400", line);
    }
    assertTrue(server.received.isEmpty(), "no invalid request may be forwarded");
  }

  /** Guards against request smuggling: bytes behind a rejected request may be a part of it. */
  @Test
  void nothingBehindARejectedRequestIsRead() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    String valid = keyedRequestHead("t-2") + "Content-Length: 0\r\n\r\n";
    String head = keyedRequestHead("t-1");
    for (String invalid :
        List.of(
            head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
            head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbook",
            head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbook",
            head + "Content-Length: 4, 4\r\n\r\nbook",
            head + "Content-Length: -4\r\n\r\n",
            head + "Content-Length: four\r\n\r\n",
            head + "Content-Length: 99999999999999999999\r\n\r\n",
            head + "Transfer-Encoding: gzip\r\n\r\n",
            head + "X-Trace-Id: t-3\r\n\r\n",
            head + "X-Odd name: x\r\n\r\n",
            head.replace("X-Qos: order", "X-Qos: odd") + "\r\n",
            head.replace("units=1", "units=1d") + "\r\n",
            head.replace("units=1", "units=9") + "\r\n",
            head.replace("units=1", "units=1,units=2") + "\r\n",
            head.replace("spread=1", "spread=0x1") + "\r\n",
            head.replace("20000", "1e3") + "\r\n",
            head.replace("20000", "900000000") + "\r\n",
            head.replace("customer=00000", "customer=+0000") + "\r\n",
            "nonsense\r\n\r\n",
            "\u0000\u0001\u0002\r\n\r\n")) {
      Socket client = connect(node);
      writeText(client, invalid + valid);
      assertRejected(client, "400", invalid);
    }
    assertTrue(server.received.isEmpty(), "no invalid request may be forwarded");
  }

  /** The limit is 65,536 bytes, for a declared length as well as for the sum of the chunks. */
  @Test
  void tooLargeBodyIsRejectedUnread() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    String head = keyedRequestHead("t-1");
    for (String invalid :
        List.of(
            "Content-Length: 65537\r\n\r\n",
            "Content-Length: 60000000\r\n\r\n" + "x".repeat(9_000),
            "Transfer-Encoding: chunked\r\n\r\n"
                + ("1000\r\n" + "x".repeat(4096) + "\r\n").repeat(17))) {
      Socket client = connect(node);
      writeText(client, head + invalid);
      assertRejected(client, "413", invalid.substring(0, 24));
    }
    assertTrue(server.received.isEmpty());
  }

  /** Without timeouts, connections whose clients send nothing would stay open forever. */
  @Test
  void silentAndIncompleteClientsTimeOutAndOpenRequestsDoNot() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer server = startOkServer("x", proceed);
    EdgeNode node = startNode(server);
    Socket busy = connect(node);
    writeKeyedRequest(busy, "t-1");
    server.awaitRequest();
    Socket halfHead = connect(node);
    writeText(halfHead, "POST /api HTTP/1.1\r\nX-");
    Socket halfBody = connect(node);
    writeText(halfBody, keyedRequestHead("t-2") + "Content-Length: 9\r\n\r\nhalf");
    Socket silent = connect(node);
    assertRejected(halfHead, "408", "incomplete head");
    assertRejected(halfBody, "408", "incomplete body");
    assertNull(ScriptedServer.readMessage(silent));
    // The request has been open for longer than both timeouts.
    proceed.complete(null);
    assertEquals("200", readStatus(busy));
    assertNull(
        ScriptedServer.readMessage(busy),
        "the connection must be closed when it has been idle for too long");
  }

  /** If they were read, many connections with pipelined requests could exhaust the memory. */
  @Test
  void pipelinedRequestsWaitUnread() throws Exception {
    int count = 400;
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              proceed.join();
              request.respond(ScriptedServer.okResponse("", request.requestId()));
            });
    EdgeNode node = startNode(server);
    Socket pipelining = connect(node);
    String body = "x".repeat(64 * 1024);
    writeRequest(pipelining, "POST /api", requestHeaders("a-0", "order", "20000"), body);
    server.awaitRequest();
    CompletableFuture<Void> written =
        CompletableFuture.runAsync(
            () -> {
              try {
                for (int i = 1; i < count; i++) {
                  writeRequest(
                      pipelining, "POST /api", requestHeaders("a-" + i, "order", "20000"), body);
                }
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    Socket other = connect(node);
    writeKeyedRequest(other, "t-1");
    server.awaitRequest();
    assertFalse(written.isDone(), "all 25 MB of pipelined requests were read");
    proceed.complete(null);
    assertEquals("200", readStatus(other));
    // Each request gets one response, in order: its own, or a failure, because with so many bytes
    // unread the client may have disconnected more than 100 ms ago.
    for (int i = 0; i < count; i++) {
      ScriptedServer.Message response = ScriptedServer.readMessage(pipelining);
      assertEquals(status(response).equals("200") ? "a-" + i : "", response.body());
      assertTrue(Set.of("200", "502").contains(status(response)), response.startLine());
      assertTrue(
          i > 0 || status(response).equals("200"),
          "the first request must get 200: its client was known to be connected");
    }
    written.join();
    // Everything is read now, so the client is known to be connected again.
    writeKeyedRequest(pipelining, "a-last");
    assertEquals("a-last", ScriptedServer.readMessage(pipelining).body());
  }

  /**
   * Guards against clients that keep their connections after one request and leave none for others.
   */
  @Test
  void idleConnectionsAreKeptUpToALimit() throws Exception {
    ScriptedServer server = startOkServer("done");
    EdgeNode node =
        startNode(
            withSetting(configJson(readyEndpointJson("s-0", server.address())), "sockets", 96));
    Socket last = null;
    for (int i = 0; i < 30; i++) {
      last = connect(node);
      writeKeyedRequest(last, "k-" + i);
      ScriptedServer.Message response = ScriptedServer.readMessage(last);
      assertEquals("200", status(response));
      if (i == 20) {
        assertEquals(
            "close",
            response.headers().get("connection"),
            "the close of a connection must be announced");
        assertEquals(-1, last.getInputStream().read());
      }
    }
    assertTrue(
        node.clientConnectionCount() <= 17,
        node.clientConnectionCount() + " connections are open, 17 allowed");
    assertEquals("200", requestStatus(connect(node), "k-30"));
  }

  @Test
  void invalidRequestsAreRejected() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    Map<String, String> invalid =
        new TreeMap<>(
            Map.of(
                "X-Trace-Id",
                "",
                "X-Qos",
                "nonsense",
                "X-Plan",
                "gold",
                "Cookie",
                "customer=zz",
                "X-Expires-In-Ms",
                "soon",
                "X-Quota",
                "units=NaN,spread=1,first=0",
                "Idempotency-Key",
                ""));
    for (Map.Entry<String, String> entry : invalid.entrySet()) {
      Map<String, String> headers = requestHeaders("t-1", "order", "20000");
      headers.put(entry.getKey(), entry.getValue());
      Socket client = connect(node);
      writeRequest(client, "POST /api", headers, "");
      assertEquals("400", readStatus(client), entry.getKey());
    }
    for (String quota :
        List.of(
            "units=1,spread=0,first=0",
            "units=1,spread=1,first=99",
            "units=-1,spread=1,first=0",
            "spread=1,first=0",
            "units=1")) {
      Map<String, String> headers = requestHeaders("t-1", "order", "20000");
      headers.put("X-Quota", quota);
      Socket client = connect(node);
      writeRequest(client, "POST /api", headers, "");
      assertEquals("400", readStatus(client), quota);
    }
    Map<String, String> valid = requestHeaders("t-1", "order", "20000");
    for (Map.Entry<String, String> entry :
        Map.of("GET /api", "405", "POST /elsewhere", "404").entrySet()) {
      Socket client = connect(node);
      writeRequest(client, entry.getKey(), valid, "");
      assertEquals(entry.getValue(), readStatus(client), entry.getKey());
    }
    assertTrue(server.received.isEmpty(), "no invalid request may be forwarded");
  }

  @Test
  void duplicateIdOfAnOpenRequestIsRejected() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    ScriptedServer server = startOkServer("x", proceed);
    EdgeNode node = startNode(server);
    Socket first = connect(node);
    writeKeyedRequest(first, "t-1");
    server.awaitRequest();
    assertEquals("409", requestStatus(connect(node), "t-1"));
    proceed.complete(null);
    assertEquals("200", readStatus(first));
  }

  /** Without eviction, connections whose clients send nothing could occupy all sockets. */
  @Test
  void silentConnectionsAreEvictedForNewOnes() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node =
        startNode(
            withSetting(configJson(readyEndpointJson("s-0", server.address())), "sockets", 16));
    for (int i = 0; i < 30; i++) {
      connect(node);
    }
    assertEquals("200", requestStatus(connect(node), "t-1"));
  }
}
