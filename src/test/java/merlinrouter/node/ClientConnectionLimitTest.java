package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests clients that connect or send requests while the node is at its connection limit. */
@Timeout(120)
class ClientConnectionLimitTest extends EventLoopFixture {
  private static final long MAX_SOCKETS = 16;

  /** The limit of client connections: half of {@link #MAX_SOCKETS}. */
  private static final int MAX_CONNECTIONS = 8;

  /** Longer than the time for which a draining node accepts new connections. */
  private static final long BEYOND_GRACE_MILLIS = 700;

  private static final String BODY = "book";

  /** Larger than the bodies of all other requests together. */
  private static final String LARGE_BODY = "x".repeat(1_000);

  private final Map<String, Socket> clients = new HashMap<>();

  private EdgeNode startLimitedNode(ScriptedServer server) throws Exception {
    String config = configJson(readyEndpointJson("s-0", server.address()));
    return startNode(withSetting(config, "sockets", MAX_SOCKETS));
  }

  /** Opens connections {@code t-0}, {@code t-1}, ... with one open request on each. */
  private void openRequests(EdgeNode node, int count) throws Exception {
    long bytesBefore = callOnEventLoop(node, node::usedRequestBytes);
    for (int i = 0; i < count; i++) {
      Socket client = connect(node);
      writeRequest(client, "POST /api", requestHeaders("t-" + i, "order", "20000"), BODY);
      clients.put("t-" + i, client);
    }
    long bytes = (long) count * BODY.length();
    awaitOnEventLoop(node, () -> node.usedRequestBytes() == bytesBefore + bytes);
  }

  /**
   * Connects a client and writes its request, which the node cannot read: at the limit, the
   * connection waits in the kernel's backlog.
   */
  private Socket connectBeyondLimit(EdgeNode node) throws IOException {
    Socket waiting = connect(node);
    writeRequest(waiting, "POST /api", requestHeaders("w-1", "order", "20000"), LARGE_BODY);
    return waiting;
  }

  private static byte[] requestBytes(String requestId) {
    String head = requestHead("POST /api", requestHeaders(requestId, "order", "20000"));
    return (head + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY)
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Connects a client, sends all but the last two bytes of a request, and waits until these are
   * read.
   */
  private Socket connectWithPartOfRequest(EdgeNode node, byte[] request) throws Exception {
    Socket client = connect(node);
    client.getOutputStream().write(request, 0, request.length - 2);
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > 0);
    return client;
  }

  /**
   * Guards against clients that keep their connections open at the limit: others would wait for
   * accept for an unlimited time.
   */
  @Test
  void connectionClosesWithItsResponseWhileOtherClientsWaitForAccept() throws Exception {
    ScriptedServer server = startServer(request -> {});
    EdgeNode node = startLimitedNode(server);
    openRequests(node, MAX_CONNECTIONS);
    connectBeyondLimit(node);
    ScriptedServer.Message attempt = server.awaitRequest();
    attempt.respond(ScriptedServer.okResponse("", "x"));
    ScriptedServer.Message response = ScriptedServer.readMessage(clients.get(attempt.requestId()));
    assertEquals("200", status(response));
    assertEquals(
        "close", response.headers().get("connection"), "connection header of the first response");
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > LARGE_BODY.length());
  }

  /** Closing the listening socket would reset the connections that wait for accept. */
  @Test
  void drainServesClientsThatWaitForAcceptAtTheLimit() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    EdgeNode node = startLimitedNode(startOkServer("x", proceed));
    openRequests(node, MAX_CONNECTIONS);
    Socket waiting = connectBeyondLimit(node);
    CompletableFuture<Void> drained = callOnEventLoop(node, node::drain);
    node.loop().schedule(() -> {}, BEYOND_GRACE_MILLIS, TimeUnit.MILLISECONDS).get();
    proceed.complete(null);
    readStatus(waiting);
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * The event loop accepts a connection, and would evict another one for it, before it reads what
   * has arrived on that one.
   */
  @Test
  void connectionIsNotEvictedOverRequestWhoseRestHasArrivedUnread() throws Exception {
    CompletableFuture<Void> proceed = new CompletableFuture<>();
    EdgeNode node = startLimitedNode(startOkServer("x", proceed));
    byte[] request = requestBytes("p-1");
    Socket client = connectWithPartOfRequest(node, request);
    openRequests(node, MAX_CONNECTIONS - 2);
    InetSocketAddress address = (InetSocketAddress) node.address();
    Socket newest =
        callOnEventLoop(
            node,
            () -> {
              Socket connected = connect(address);
              client.getOutputStream().write(request, request.length - 2, 2);
              return connected;
            });
    resources.add(newest);
    proceed.complete(null);
    assertEquals("200", readStatus(client));
  }

  /**
   * Guards against an eviction without a response: the client may still be sending the rest of its
   * request.
   */
  @Test
  void evictedConnectionThatHasReceivedPartOfRequestGetsResponse() throws Exception {
    EdgeNode node = startLimitedNode(startOkServer("x", new CompletableFuture<>()));
    Socket client = connectWithPartOfRequest(node, requestBytes("p-1"));
    openRequests(node, MAX_CONNECTIONS - 2);
    connect(node);
    ScriptedServer.Message response = ScriptedServer.readMessage(client);
    assertEquals("503", status(response));
    assertEquals("close", response.headers().get("connection"));
  }
}
