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

/** Clients connect and send requests while a node has as many connections as it may have. */
@Timeout(120)
class ClientConnectionLimitTest extends EventLoopFixture {
  private static final long MAX_SOCKETS = 16;

  /** Half of {@link #MAX_SOCKETS}. */
  private static final int MAX_CONNECTIONS = 8;

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

  /** Connects a client whose request waits in the kernel, since no further one is accepted. */
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

  /** Sends all but the last two bytes of a request, and waits until they are read. */
  private Socket connectWithPartOfRequest(EdgeNode node, byte[] request) throws Exception {
    Socket client = connect(node);
    client.getOutputStream().write(request, 0, request.length - 2);
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > 0);
    return client;
  }

  /** Else clients that keep their connections would leave no room for others, however long. */
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
    assertEquals("close", response.headers().get("connection"), "of the first response");
    awaitOnEventLoop(node, () -> node.usedRequestBytes() > LARGE_BODY.length());
  }

  /** Closing the listening socket would reset them. */
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

  /** The event loop accepts a connection, and closes another one for it, before it reads that. */
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

  /** Its client may be sending the rest, and would get no response at all. */
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
