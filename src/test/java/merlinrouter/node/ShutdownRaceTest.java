package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Drains and reloads during the start of a node, and drains while the last clients connect. */
@Timeout(120)
class ShutdownRaceTest extends EventLoopFixture {
  private static final long STALL_BEYOND_GRACE_MILLIS = 700;

  /** The longest deadline, counted as 3 s, and 0.7 s. */
  private static final long EARLIEST_KILL_MILLIS = 3_700;

  /** Much longer than the 3.7 s from SIGTERM to SIGKILL, and less than a request's timeout. */
  private static final long MAX_RESPONSE_MILLIS = 15_000;

  private EdgeNode createNode(String configJson) throws Exception {
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(configJson));
    resources.add(node);
    return node;
  }

  /** A drain before the listening socket is bound must complete and prevent serving. */
  @Test
  void nodeDrainedBeforeItsStartNeverServes() throws Exception {
    EdgeNode node = createNode(configJson());
    node.drain().get(20, TimeUnit.SECONDS);
    Thread starting =
        new Thread(
            () -> {
              try {
                node.start();
              } catch (Exception e) {
                // The node has been closed.
              }
            });
    starting.setDaemon(true);
    starting.start();
    discovery.awaitRequest();
    assertFalse(callOnEventLoop(node, node::isListening));
  }

  /** The reload happens after the configuration is read and before the node starts. */
  @Test
  void reloadBeforeTheStartMovesTheFirstWatch() throws Exception {
    ScriptedServer newDiscovery = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    EdgeNode node = createNode(config);
    node.reload(
        NodeConfigReader.parse(config.replace(discovery.address(), newDiscovery.address())));
    node.start();
    assertTrue(newDiscovery.awaitRequest().startLine().contains("after=5"));
    awaitOnEventLoop(node, () -> node.discovery().openWatchCount() == 1);
  }

  /** A response must precede the SIGKILL, whatever deadline a request was accepted with. */
  @Test
  void requestReceivedBeforeTheShutdownGetsAResponseBeforeTheKill() throws Exception {
    EdgeNode node = startNode(startServer(request -> {}));
    CompletableFuture<String> response = callOnEventLoop(node, () -> submitRequest(node, "t-1"));
    node.drain();
    boolean respondedBeforeKill =
        node.loop().schedule(response::isDone, EARLIEST_KILL_MILLIS, TimeUnit.MILLISECONDS).get();
    assertTrue(respondedBeforeKill);
  }

  /** Connects and requests within the grace period count, however late the loop handles them. */
  @Test
  void requestsBeforeTheGracePeriodEndsAreServedDespiteEventLoopStall() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    Socket connected = connect(node);
    assertEquals("200", requestStatus(connected, "t-0"));
    CompletableFuture<Void> drained = callOnEventLoop(node, node::drain);
    InetSocketAddress address = (InetSocketAddress) node.address();
    Socket connecting =
        callOnEventLoop(
            node,
            () -> {
              Socket client = connect(address);
              writeKeyedRequest(client, "t-1");
              writeKeyedRequest(connected, "t-2");
              Thread.sleep(STALL_BEYOND_GRACE_MILLIS);
              return client;
            });
    resources.add(connecting);
    assertEquals("200", readStatus(connecting));
    assertEquals("200", readStatus(connected));
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * By default, a poll accepts 16 connections. Those still in the backlog must not be closed unread
   * when the grace period ends.
   */
  @Test
  void allClientsConnectedBeforeTheGracePeriodEndsGetResponses() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    CompletableFuture<Void> drained = callOnEventLoop(node, node::drain);
    InetSocketAddress address = (InetSocketAddress) node.address();
    List<Socket> clients =
        callOnEventLoop(
            node,
            () -> {
              List<Socket> connected = new ArrayList<>();
              for (int i = 0; i < 60; i++) {
                Socket client = connect(address);
                writeKeyedRequest(client, "c-" + i);
                connected.add(client);
              }
              Thread.sleep(STALL_BEYOND_GRACE_MILLIS);
              return connected;
            });
    resources.addAll(clients);
    for (Socket client : clients) {
      readStatus(client);
    }
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * Guards against a request that is sent so slowly during a drain that it is still open when the
   * process is killed: it would get no response.
   */
  @Test
  void requestCompletedDuringShutdownIsAnsweredBeforeTheProcessMayBeKilled() throws Exception {
    EdgeNode node = startNode(startOkServer("x", new CompletableFuture<>()));
    Socket client = connect(node);
    String head = requestHead("POST /api", requestHeaders("t-1", "order", "20000"));
    byte[] request = (head + "Content-Length: 4\r\n\r\nbook").getBytes(StandardCharsets.UTF_8);
    client.getOutputStream().write(request, 0, request.length / 2);
    callOnEventLoop(node, () -> null);
    CompletableFuture<Void> drained = callOnEventLoop(node, node::drain);
    node.loop().schedule(() -> {}, STALL_BEYOND_GRACE_MILLIS, TimeUnit.MILLISECONDS).get();
    long sentAtNanos = System.nanoTime();
    client
        .getOutputStream()
        .write(request, request.length / 2, request.length - request.length / 2);
    readStatus(client);
    long respondedAfterMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
    assertTrue(
        respondedAfterMillis < MAX_RESPONSE_MILLIS,
        "response after " + respondedAfterMillis + " ms, limit " + MAX_RESPONSE_MILLIS + " ms");
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * Guards against a drain that closes the connection as idle: the decoder no longer buffers these
   * bytes, because it parses each line of a head immediately.
   */
  @Test
  void drainDoesNotCloseConnectionThatHasReceivedTheFirstLineOfRequest() throws Exception {
    EdgeNode node = startNode(startOkServer("x"));
    Socket client = connect(node);
    String head = requestHead("POST /api", requestHeaders("t-1", "order", "20000"));
    String request = head + "Content-Length: 4\r\n\r\nbook";
    int firstLineBytes = request.indexOf('\n') + 1;
    byte[] bytes = request.getBytes(StandardCharsets.UTF_8);
    client.getOutputStream().write(bytes, 0, firstLineBytes);
    callOnEventLoop(node, () -> null);
    CompletableFuture<Void> drained = callOnEventLoop(node, node::drain);
    node.loop().schedule(() -> {}, STALL_BEYOND_GRACE_MILLIS, TimeUnit.MILLISECONDS).get();
    client.getOutputStream().write(bytes, firstLineBytes, bytes.length - firstLineBytes);
    readStatus(client);
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * The operating system may queue one connection more than the requested backlog. That one must be
   * accepted too before the listening socket is closed, which would reset it.
   */
  @Test
  void drainServesFullBacklog() throws Exception {
    int backlog = 512;
    String config = withSetting(configJson(), "sockets", 4 * backlog);
    EdgeNode node = startNode(config);
    InetSocketAddress address = (InetSocketAddress) node.address();
    CompletableFuture<Void> drained = callOnEventLoop(node, node::drain);
    // The grace period ends in the same turn of the event loop, without a poll in between.
    List<Socket> clients =
        node.loop()
            .schedule(
                () -> {
                  List<Socket> connected = new ArrayList<>();
                  for (int i = 0; i <= backlog; i++) {
                    Socket client = connect(address);
                    resources.add(client);
                    writeRequest(client, "GET /_health", Map.of(), "");
                    connected.add(client);
                  }
                  Thread.sleep(STALL_BEYOND_GRACE_MILLIS);
                  return connected;
                },
                0,
                TimeUnit.NANOSECONDS)
            .get();
    for (Socket client : clients) {
      readStatus(client);
    }
    drained.get(60, TimeUnit.SECONDS);
  }
}
