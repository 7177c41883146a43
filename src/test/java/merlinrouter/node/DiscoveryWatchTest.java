package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Watches that end, fall silent, get no response or are cut short. Durations are compared with a
 * timer on the node's own event loop: its timers fire in the order of their deadlines, however slow
 * the machine is.
 */
@Timeout(120)
class DiscoveryWatchTest extends NodeFixture {
  private static final String EMPTY_LAST_CHUNK = "0\r\n\r\n";

  /** Updates that a silent watch misses count as delivered 6 s after the start of the silence. */
  @Test
  void aSilentWatchIsReplacedBeforeMissedUpdatesCountAsDelivered() throws Exception {
    ScriptedServer server = startOkServer("x");
    AtomicInteger watches = new AtomicInteger();
    discovery =
        startServer(
            request -> {
              if (watches.getAndIncrement() == 0) {
                request.respond(
                    watchResponse(updateJson(6, readyEndpointJson("s-1", server.address()))));
              }
            });
    EdgeNode node = startNode(configJson());
    awaitServed(node);
    int openedBefore = node.loop().submit(() -> node.discovery().totalWatchCount()).get();
    assertTrue(
        node.loop()
            .schedule(
                () ->
                    node.discovery().totalWatchCount() > openedBefore
                        || node.discovery().openWatchCount() == 0,
                6,
                TimeUnit.SECONDS)
            .get(),
        "the silent watch is still open after 6 s");
  }

  /**
   * A restarted node must not send requests to endpoints that drain, which its configuration lists
   * as ready, only because its first watch ends without a list.
   */
  @Test
  void aNodeWhoseFirstWatchTellsNothingDoesNotServeWithItsConfiguredList() throws Exception {
    ScriptedServer draining = startOkServer("draining");
    ScriptedServer ready = startOkServer("ready");
    AtomicInteger watches = new AtomicInteger();
    discovery =
        startServer(
            request ->
                request.respond(
                    watches.getAndIncrement() == 0
                        ? ScriptedServer.CHUNKED_RESPONSE_HEAD + EMPTY_LAST_CHUNK
                        : watchResponse(
                            fullListJson(6, readyEndpointJson("s-1", ready.address())))));
    EdgeNode node = startNode(configJson(readyEndpointJson("s-0", draining.address())));
    assertEquals("200", requestStatus(connect(node), "t-1"));
    assertEquals(0, draining.received.size(), "requests sent to the draining endpoint");
  }

  /** The configured list is all that a node has while discovery does not respond. */
  @Test
  void aNodeServesWithItsConfiguredListIfDiscoveryDoesNotRespond() throws Exception {
    ScriptedServer server = startOkServer("x");
    discovery = startServer(request -> {});
    EdgeNode node = startNode(configJson(readyEndpointJson("s-0", server.address())));
    assertEquals("200", requestStatus(connect(node), "t-1"));
  }

  /**
   * With a single watch, a list sent after discovery has recovered would be received only after the
   * timeout of the watch without a response.
   */
  @Test
  void anotherWatchIsOpenedBesideAnUnansweredOne() throws Exception {
    ScriptedServer server = startOkServer("x");
    AtomicInteger watches = new AtomicInteger();
    CompletableFuture<Void> discoveryRecovered = new CompletableFuture<>();
    discovery =
        startServer(
            request -> {
              if (watches.getAndIncrement() > 0) {
                discoveryRecovered.join();
                request.respond(
                    watchResponse(updateJson(6, readyEndpointJson("s-1", server.address()))));
              }
            });
    EdgeNode node = startNode(configJson());
    discovery.awaitRequest();
    discovery.awaitRequest();
    assertTrue(
        discovery.endedConnections.isEmpty(),
        "the watch without a response was closed, though a response may follow");
    discoveryRecovered.complete(null);
    awaitServed(node);
    discovery.endedConnections.take();
    assertEquals(
        1,
        node.loop().submit(() -> node.discovery().openWatchCount()).get(),
        "open watches; only the one with a response must stay open");
  }

  /**
   * The local agent that pushes the list responds immediately, so after its restart only the
   * backoff delays a change. The backoff must stay below the 1 s that is allowed for draining.
   */
  @Test
  void afterManyFailuresAWatchIsReopenedWithinTheDrainingSecond() throws Exception {
    discovery = startServer(request -> request.connection().close());
    EdgeNode node = startNode(configJson());
    for (int i = 0; i < 5; i++) {
      discovery.awaitRequest();
    }
    int[] openedBefore = new int[1];
    CompletableFuture<Void> noneOpen = new CompletableFuture<>();
    node.loop()
        .execute(
            new Runnable() {
              @Override
              public void run() {
                openedBefore[0] = node.discovery().totalWatchCount();
                if (node.discovery().openWatchCount() == 0) {
                  noneOpen.complete(null);
                } else {
                  node.loop().schedule(this, 1, TimeUnit.MILLISECONDS);
                }
              }
            });
    noneOpen.get();
    assertTrue(
        node.loop()
            .schedule(
                () -> node.discovery().totalWatchCount() > openedBefore[0], 1, TimeUnit.SECONDS)
            .get(),
        "no watch was opened within 1 s");
  }

  /**
   * An update counts as delivered 6 s after discovery published it, also where the list must be
   * subscribed to. Here six watches end, one falls silent, and the next one gets no response, so a
   * ninth must be opened within these 6 s.
   */
  @Test
  void aSubscribedListIsPolledWithin6SecondsThoughWatchesFailAndFallSilent() throws Exception {
    ScriptedServer server = startOkServer("x");
    AtomicInteger watches = new AtomicInteger();
    CompletableFuture<Void> silent = new CompletableFuture<>();
    discovery =
        startServer(
            request -> {
              int watch = watches.getAndIncrement();
              if (watch < 6) {
                request.connection().close();
              } else if (watch == 6) {
                request.respond(UNCHANGED_LIST);
                silent.complete(null);
              } else if (watch > 7) {
                request.respond(
                    watchResponse(updateJson(6, readyEndpointJson("s-1", server.address()))));
              }
            });
    EdgeNode node =
        startNode(
            configJson().replace("\"discovery\": \"automatic\"", "\"discovery\": \"subscribe\""));
    silent.get();
    assertTrue(
        node.loop()
            .schedule(() -> node.discovery().totalWatchCount() > 8, 6, TimeUnit.SECONDS)
            .get(),
        "the list was not polled twice within 6 s of the start of the silence");
    awaitServed(node);
  }

  @Test
  void aListMayBeIndented() throws Exception {
    ScriptedServer server = startOkServer("x");
    String list =
        updateJson(6, readyEndpointJson("s-1", server.address()))
                .replace(",", ",\n  ")
                .replace("{", "{\n  ")
            + "\n";
    discovery =
        startServer(
            request ->
                request.respond(
                    ScriptedServer.CHUNKED_RESPONSE_HEAD
                        + ScriptedServer.chunk(list.substring(0, 20))
                        + ScriptedServer.chunk(list.substring(20))));
    EdgeNode node = startNode(configJson());
    awaitServed(node);
    assertEquals(1, discovery.received.size(), "the watch was closed because of the indented list");
  }

  /**
   * Otherwise lines after an incomplete list would be taken for the rest of it, or would keep the
   * read timeout from closing the watch.
   */
  @Test
  void anIncompleteOrMalformedListIsPolledAgainAndThePreviousOneStays() throws Exception {
    ScriptedServer server = startOkServer("x");
    String incomplete = "{\"revision\":9,\"complete\":true,\"members\":[{\"id\":\"s-";
    for (String invalid :
        new String[] {
          incomplete,
          incomplete + "\n\n\n",
          incomplete + "\"\n",
          "]" + incomplete,
          "{}{\n",
          "no list\n"
        }) {
      discovery =
          startServer(
              request ->
                  request.respond(
                      ScriptedServer.CHUNKED_RESPONSE_HEAD + ScriptedServer.chunk(invalid)));
      EdgeNode node = startNode(server);
      discovery.awaitRequest();
      assertTrue(discovery.awaitRequest().startLine().contains("after=5"), invalid);
      assertEquals("200", requestStatus(connect(node), "t-1"), invalid);
    }
  }

  /**
   * The read timeout does not close the watch, since it keeps receiving lines, all of which are
   * parsed as the rest of the list.
   */
  @Test
  void anIncompleteListFollowedByMoreLinesIsPolledAgain() throws Exception {
    discovery =
        startServer(
            request -> {
              request.respond(
                  ScriptedServer.CHUNKED_RESPONSE_HEAD
                      + ScriptedServer.chunk(
                          "{\"revision\":9,\"complete\":true,\"members\":[{\"id\":\"s-"));
              while (true) {
                request.respond(ScriptedServer.chunk("\n"));
                Thread.sleep(200);
              }
            });
    startNode(configJson());
    discovery.awaitRequest();
    assertTrue(discovery.awaitRequest().startLine().contains("after=5"));
  }

  /** The previous watch must not be read after a move, since its lists may be outdated. */
  @Test
  void afterAMoveOnlyTheNewWatchIsRead() throws Exception {
    ScriptedServer removed = startOkServer("removed");
    ScriptedServer added = startOkServer("added");
    CompletableFuture<ScriptedServer.Message> previousWatch = new CompletableFuture<>();
    discovery =
        startServer(
            request -> {
              request.respond(UNCHANGED_LIST);
              previousWatch.complete(request);
            });
    String config = configJson(readyEndpointJson("s-0", removed.address()));
    EdgeNode node = startNode(config);
    ScriptedServer newDiscovery =
        startServer(
            request ->
                request.respond(
                    watchResponse(
                        updateJson(
                            9,
                            endpointJson("s-0", removed.address(), "Gone", 0),
                            readyEndpointJson("s-1", added.address())))));
    ScriptedServer.Message watch = previousWatch.get();
    node.loop()
        .submit(
            () -> {
              node.reload(
                  NodeConfigReader.parse(
                      config.replace(discovery.address(), newDiscovery.address())));
              // Written while the event loop is busy: the node reads it after the move.
              watch.respond(
                  ScriptedServer.chunk(
                      updateJson(8, readyEndpointJson("s-2", removed.address())) + "\n"));
              return null;
            })
        .get();
    newDiscovery.awaitRequest();
    discovery.endedConnections.take();
    Socket client = connect(node);
    String body = "";
    for (int i = 0; !body.equals("added"); i++) {
      writeKeyedRequest(client, "m-" + i);
      body = ScriptedServer.readMessage(client).body();
    }
    for (int i = 0; i < 8; i++) {
      writeKeyedRequest(client, "n-" + i);
      assertEquals("added", ScriptedServer.readMessage(client).body());
    }
  }
}
