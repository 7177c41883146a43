package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Outages of discovery in series: what the node has adapted to during the first one must not delay
 * how it notices the second one. Durations are compared with timers on the node's own event loop.
 */
@Timeout(120)
class DiscoveryOutageSeriesTest extends NodeFixture {
  /** Longer than any time that a watch is given before the node adapts to an outage. */
  private static final long OUTAGE_SECONDS = 5;

  /** Changes that a silent watch misses count as delivered after this time. */
  private static final long MAX_SILENCE_SECONDS = 6;

  /** Long enough that the retained watches are those that are kept longest. */
  private static final long LONG_OUTAGE_SECONDS = 10;

  /** Longer than the time that a watch was given once the maximum number was open. */
  private static final long SLOW_RESPONSE_SECONDS = 2;

  private static final String HALF_A_LIST =
      "{\"revision\":6,\"complete\":false,\"members\":[{\"id\":\"s-";

  /** What the node receives on a watch during an outage. */
  private enum Outage {
    NO_BYTES,
    HEAD_ALONE,
    HALF_A_LIST,
    RESET;

    private void respond(ScriptedServer.Message watch) throws IOException {
      switch (this) {
        case HEAD_ALONE -> watch.respond(ScriptedServer.CHUNKED_RESPONSE_HEAD);
        case HALF_A_LIST ->
            watch.respond(
                ScriptedServer.CHUNKED_RESPONSE_HEAD
                    + ScriptedServer.chunk(DiscoveryOutageSeriesTest.HALF_A_LIST));
        case RESET -> {
          watch.connection().setSoLinger(true, 0);
          watch.connection().close();
        }
        default -> {
          // Nothing is sent.
        }
      }
    }
  }

  /**
   * Starts discovery whose watches get what {@code outage} says until it has ended, and after that
   * one list or line and nothing more.
   */
  private ScriptedServer startDiscovery(
      Outage outage, AtomicBoolean outageEnded, AtomicReference<String> firstResponse)
      throws IOException {
    return startServer(
        watch -> {
          if (outageEnded.get()) {
            watch.respond(firstResponse.get());
          } else {
            outage.respond(watch);
          }
        });
  }

  private static void waitOnLoop(EdgeNode node, long seconds) throws Exception {
    node.loop().schedule(() -> {}, seconds, TimeUnit.SECONDS).get();
  }

  private static int totalWatchCount(EdgeNode node) throws Exception {
    return node.loop().submit(() -> node.discovery().totalWatchCount()).get();
  }

  /** Asserts that the only open watch, which has fallen silent by now, is replaced in time. */
  private static void assertSilentWatchIsReplaced(EdgeNode node) throws Exception {
    int openedBefore = totalWatchCount(node);
    assertTrue(
        node.loop()
            .schedule(
                () -> node.discovery().totalWatchCount() > openedBefore,
                MAX_SILENCE_SECONDS,
                TimeUnit.SECONDS)
            .get(),
        "the silent watch was not replaced within " + MAX_SILENCE_SECONDS + " s");
  }

  /**
   * Guards against report 4e79c6: drains took effect up to 24 s late on a watch that fell silent.
   */
  @ParameterizedTest
  @EnumSource
  void aWatchThatFallsSilentSoonAfterAnOutageIsReplacedInTime(Outage outage) throws Exception {
    ScriptedServer server = startOkServer("x");
    AtomicBoolean outageEnded = new AtomicBoolean();
    AtomicReference<String> list =
        new AtomicReference<>(
            watchResponse(updateJson(6, readyEndpointJson("s-1", server.address()))));
    discovery = startDiscovery(outage, outageEnded, list);
    EdgeNode node = startNode(configJson());
    waitOnLoop(node, OUTAGE_SECONDS);
    outageEnded.set(true);
    awaitServed(node);
    assertSilentWatchIsReplaced(node);
  }

  /** As above, but nothing has changed during the outage, so that no list is delivered. */
  @Test
  void anUnchangedListAfterAnOutageLeavesNoLongerTimeForSilence() throws Exception {
    AtomicBoolean outageEnded = new AtomicBoolean();
    discovery = startDiscovery(Outage.NO_BYTES, outageEnded, new AtomicReference<>(UNCHANGED_LIST));
    EdgeNode node = startNode(configJson());
    waitOnLoop(node, OUTAGE_SECONDS);
    outageEnded.set(true);
    while (node.loop().submit(() -> node.discovery().openWatchCount()).get() != 1) {
      Thread.sleep(1);
    }
    assertSilentWatchIsReplaced(node);
  }

  /** What was learned about one address says nothing about another one. */
  @Test
  void aSilentWatchAtANewAddressIsReplacedInTimeAfterAnOutageAtThePreviousOne() throws Exception {
    ScriptedServer server = startOkServer("x");
    discovery = startServer(watch -> {});
    String config = configJson();
    EdgeNode node = startNode(config);
    waitOnLoop(node, OUTAGE_SECONDS);
    ScriptedServer newDiscovery =
        startServer(
            watch ->
                watch.respond(
                    watchResponse(updateJson(6, readyEndpointJson("s-1", server.address())))));
    node.reload(
        NodeConfigReader.parse(config.replace(discovery.address(), newDiscovery.address())));
    awaitServed(node);
    assertSilentWatchIsReplaced(node);
  }

  /**
   * The watches of the outage, which never get a response, held the places of those that would have
   * got one.
   */
  @Test
  void aListIsAppliedInTimeThoughResponsesTakeSecondsAfterAnOutage() throws Exception {
    ScriptedServer server = startOkServer("x");
    String list = watchResponse(updateJson(6, readyEndpointJson("s-1", server.address())));
    CompletableFuture<EdgeNode> recovered = new CompletableFuture<>();
    discovery =
        startServer(
            watch -> {
              if (recovered.isDone()) {
                recovered
                    .join()
                    .loop()
                    .schedule(
                        () -> {
                          watch.respond(list);
                          return null;
                        },
                        SLOW_RESPONSE_SECONDS,
                        TimeUnit.SECONDS);
              }
            });
    EdgeNode node = startNode(configJson());
    waitOnLoop(node, LONG_OUTAGE_SECONDS);
    recovered.complete(node);
    // The first watch that delivers a list closes all others.
    CompletableFuture<Void> received = new CompletableFuture<>();
    node.loop()
        .scheduleAtFixedRate(
            () -> {
              if (node.discovery().openWatchCount() == 1) {
                received.complete(null);
              }
            },
            0,
            1,
            TimeUnit.MILLISECONDS);
    assertTrue(
        node.loop().schedule(received::isDone, MAX_SILENCE_SECONDS, TimeUnit.SECONDS).get(),
        "the list was not received within " + MAX_SILENCE_SECONDS + " s");
  }
}
