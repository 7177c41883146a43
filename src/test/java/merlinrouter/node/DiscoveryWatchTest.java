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
 * Watches that end, fall silent, are not answered or are cut short. Where a duration matters it is
 * compared with another timer of the node's own event loop: these fire in the order of their
 * deadlines, however slow the machine is.
 */
@Timeout(120)
class DiscoveryWatchTest extends NodeFixture {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String delta(int revision, String entries) {
    return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + entries + "]}";
  }

  /** Waits until a request is served, by an endpoint that only the watch can have listed. */
  private void awaitServed(EdgeNode node) throws Exception {
    Socket client = client(node);
    String status = "";
    for (int i = 0; !status.equals("200"); i++) {
      status = ask(client, "w-" + i);
    }
  }

  /** What a silent watch misses counts as delivered 6 s after it fell silent. */
  @Test
  void aSilentWatchIsReplacedBeforeMissedUpdatesCountAsDelivered() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    AtomicInteger watches = new AtomicInteger();
    discovery =
        peer(
            m -> {
              if (watches.getAndIncrement() == 0) {
                m.answer(
                    HEAD + chunk(delta(6, member("s-1", server.address(), "Ready", 0)) + "\n"));
              }
            });
    EdgeNode node = start(config());
    awaitServed(node);
    int openedBefore = node.loop().submit(() -> node.discovery().openedWatches()).get();
    assertTrue(
        node.loop()
            .schedule(
                () ->
                    node.discovery().openedWatches() > openedBefore
                        || node.discovery().openWatches() == 0,
                6,
                TimeUnit.SECONDS)
            .get(),
        "the silent watch is still open after 6 s");
  }

  /**
   * Otherwise a list that comes when discovery is back waits for the unanswered watch's timeout.
   */
  @Test
  void anotherWatchIsOpenedBesideAnUnansweredOne() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    AtomicInteger watches = new AtomicInteger();
    CompletableFuture<Void> discoveryBack = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              if (watches.getAndIncrement() > 0) {
                discoveryBack.join();
                m.answer(
                    HEAD + chunk(delta(6, member("s-1", server.address(), "Ready", 0)) + "\n"));
              }
            });
    EdgeNode node = start(config());
    discovery.next();
    discovery.next();
    assertTrue(discovery.ended.isEmpty(), "the unanswered one may be answered yet");
    discoveryBack.complete(null);
    awaitServed(node);
    discovery.ended.take();
    assertEquals(
        1,
        node.loop().submit(() -> node.discovery().openWatches()).get(),
        "only the answered watch stays open");
  }

  /** The backoff must stay below the second that draining allows: the agent answers at once. */
  @Test
  void afterManyFailuresAWatchIsReopenedWithinTheDrainingSecond() throws Exception {
    discovery = peer(m -> m.socket().close());
    EdgeNode node = start(config());
    for (int i = 0; i < 5; i++) {
      discovery.next();
    }
    int[] openedBefore = new int[1];
    CompletableFuture<Void> noneOpen = new CompletableFuture<>();
    node.loop()
        .execute(
            new Runnable() {
              @Override
              public void run() {
                openedBefore[0] = node.discovery().openedWatches();
                if (node.discovery().openWatches() == 0) {
                  noneOpen.complete(null);
                } else {
                  node.loop().schedule(this, 1, TimeUnit.MILLISECONDS);
                }
              }
            });
    noneOpen.get();
    assertTrue(
        node.loop()
            .schedule(() -> node.discovery().openedWatches() > openedBefore[0], 1, TimeUnit.SECONDS)
            .get(),
        "no watch was opened for a second");
  }

  /**
   * Where the list must be subscribed to, too, an update counts as delivered 6 s after discovery
   * had it: here a watch falls silent after some that ended, and the next one is never answered.
   */
  @Test
  void aSubscribedListIsPolledWithin6SecondsThoughWatchesFailAndFallSilent() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    AtomicInteger watches = new AtomicInteger();
    CompletableFuture<Void> silent = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              int watch = watches.getAndIncrement();
              if (watch < 6) {
                m.socket().close();
              } else if (watch == 6) {
                m.answer(HEAD + chunk("\n"));
                silent.complete(null);
              } else if (watch > 7) {
                m.answer(
                    HEAD + chunk(delta(6, member("s-1", server.address(), "Ready", 0)) + "\n"));
              }
            });
    EdgeNode node =
        start(config().replace("\"discovery\": \"automatic\"", "\"discovery\": \"subscribe\""));
    silent.get();
    assertTrue(
        node.loop().schedule(() -> node.discovery().openedWatches() > 8, 6, TimeUnit.SECONDS).get(),
        "6 s after the silence began the list had not been polled twice");
    awaitServed(node);
  }

  @Test
  void aListMayBeIndented() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    String list =
        delta(6, member("s-1", server.address(), "Ready", 0))
                .replace(",", ",\n  ")
                .replace("{", "{\n  ")
            + "\n";
    discovery =
        peer(m -> m.answer(HEAD + chunk(list.substring(0, 20)) + chunk(list.substring(20))));
    EdgeNode node = start(config());
    awaitServed(node);
    assertEquals(1, discovery.seen.size(), "the watch was closed because of it");
  }

  /**
   * The lines behind an incomplete list would pass for its rest, or for a sign that the watch is
   * alive.
   */
  @Test
  void anIncompleteOrMalformedListIsPolledAgainAndThePreviousOneStays() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    String incomplete = "{\"revision\":9,\"complete\":true,\"members\":[{\"id\":\"s-";
    for (String sent :
        new String[] {
          incomplete,
          incomplete + "\n\n\n",
          incomplete + "\"\n",
          "]" + incomplete,
          "{}{\n",
          "no list\n"
        }) {
      discovery = peer(m -> m.answer(HEAD + chunk(sent)));
      EdgeNode node = node(server);
      discovery.next();
      assertTrue(discovery.next().first().contains("after=5"), sent);
      assertEquals("200", ask(client(node), "t-1"), sent);
    }
  }

  /** The watch is not silent, since lines keep coming, all of which pass for the list's rest. */
  @Test
  void anIncompleteListFollowedByMoreLinesIsPolledAgain() throws Exception {
    discovery =
        peer(
            m -> {
              m.answer(HEAD + chunk("{\"revision\":9,\"complete\":true,\"members\":[{\"id\":\"s-"));
              while (true) {
                m.answer(chunk("\n"));
                Thread.sleep(200);
              }
            });
    start(config());
    discovery.next();
    assertTrue(discovery.next().first().contains("after=5"));
  }

  /** After a move the previous watch is not read: its lists may be older than the new one's. */
  @Test
  void afterAMoveOnlyTheNewWatchIsRead() throws Exception {
    ScriptedServer removed = peer(m -> m.answer(ScriptedServer.ok("", "removed")));
    ScriptedServer added = peer(m -> m.answer(ScriptedServer.ok("", "added")));
    CompletableFuture<ScriptedServer.Message> opened = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              m.answer(HEAD + chunk("\n"));
              opened.complete(m);
            });
    String config = config(member("s-0", removed.address(), "Ready", 0));
    EdgeNode node = start(config);
    ScriptedServer newDiscovery =
        peer(
            m ->
                m.answer(
                    HEAD
                        + chunk(
                            delta(
                                    9,
                                    member("s-0", removed.address(), "Gone", 0)
                                        + ","
                                        + member("s-1", added.address(), "Ready", 0))
                                + "\n")));
    ScriptedServer.Message watch = opened.get();
    node.loop()
        .submit(
            () -> {
              node.reload(
                  NodeConfigReader.parse(
                      config.replace(discovery.address(), newDiscovery.address())));
              // Written while the event loop is busy: the node reads it after the move.
              watch.answer(chunk(delta(8, member("s-2", removed.address(), "Ready", 0)) + "\n"));
              return null;
            })
        .get();
    newDiscovery.next();
    discovery.ended.take();
    Socket client = client(node);
    String body = "";
    for (int i = 0; !body.equals("added"); i++) {
      order(client, "m-" + i);
      body = ScriptedServer.read(client).body();
    }
    for (int i = 0; i < 8; i++) {
      order(client, "n-" + i);
      assertEquals("added", ScriptedServer.read(client).body());
    }
  }
}
