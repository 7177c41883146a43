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
 * Watches that end, fall silent, stay mute or are cut. Where a span matters it is held against
 * another timer of the node's own loop: these run in the order of their times, however slow the
 * machine is.
 */
@Timeout(120)
class DiscoveryWatchTest extends NodeFixture {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String change(int revision, String member) {
    return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + member + "]}";
  }

  /**
   * Has the node served by a server that only the watch can have named: what stood before it was
   * read.
   */
  private void awaitServed(EdgeNode node) throws Exception {
    Socket client = client(node);
    String status = "";
    for (int i = 0; !status.equals("200"); i++) {
      status = ask(client, "w-" + i);
    }
  }

  /** A silence of 7 s once outlasted the 6 s after which what it misses counts as told. */
  @Test
  void aSilentWatchIsGivenUpBeforeWhatItMissesCountsAsTold() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    AtomicInteger watches = new AtomicInteger();
    discovery =
        peer(
            m -> {
              if (watches.getAndIncrement() == 0) {
                m.answer(
                    HEAD + chunk(change(6, member("s-1", server.address(), "Ready", 0)) + "\n"));
              }
            });
    EdgeNode node = start(config());
    awaitServed(node);
    int before = node.loop().submit(() -> node.discovery().openedWatches()).get();
    assertTrue(
        node.loop()
            .schedule(
                () ->
                    node.discovery().openedWatches() > before
                        || node.discovery().openWatches() == 0,
                6,
                TimeUnit.SECONDS)
            .get(),
        "the silent watch still stands when 6 s are over");
  }

  /** Else a list that comes at discovery's return waits for the mute watch's time-out. */
  @Test
  void aMuteWatchHasAnotherOpenedBesideIt() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    AtomicInteger watches = new AtomicInteger();
    CompletableFuture<Void> back = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              if (watches.getAndIncrement() > 0) {
                back.join();
                m.answer(
                    HEAD + chunk(change(6, member("s-1", server.address(), "Ready", 0)) + "\n"));
              }
            });
    EdgeNode node = start(config());
    discovery.next();
    discovery.next();
    assertTrue(discovery.ended.isEmpty(), "the mute one may be answered yet");
    back.complete(null);
    awaitServed(node);
    discovery.ended.take();
    assertEquals(
        1,
        node.loop().submit(() -> node.discovery().openWatches()).get(),
        "one that speaks is enough");
  }

  /**
   * The agent answers at once and free; a pause of up to 2 s once outlasted the second that a drain
   * allows.
   */
  @Test
  void afterManyEndsAWatchIsStillOpenedAgainWithinADrainsSecond() throws Exception {
    discovery = peer(m -> m.socket().close());
    EdgeNode node = start(config());
    for (int i = 0; i < 5; i++) {
      discovery.next();
    }
    int[] before = new int[1];
    CompletableFuture<Void> ended = new CompletableFuture<>();
    node.loop()
        .execute(
            new Runnable() {
              @Override
              public void run() {
                before[0] = node.discovery().openedWatches();
                if (node.discovery().openWatches() == 0) {
                  ended.complete(null);
                } else {
                  node.loop().schedule(this, 1, TimeUnit.MILLISECONDS);
                }
              }
            });
    ended.get();
    assertTrue(
        node.loop()
            .schedule(() -> node.discovery().openedWatches() > before[0], 1, TimeUnit.SECONDS)
            .get(),
        "no watch was opened for a second");
  }

  /**
   * Where lists must be asked for too, a change is told 6 s after discovery had it: here a watch
   * falls silent after some that ended, and the next one is never answered. Pauses of 2 s each once
   * made it 7 s.
   */
  @Test
  void aListThatMustBeAskedForIsToldWithin6SecondsThoughCallsFailAndFallSilent() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    AtomicInteger watches = new AtomicInteger();
    CompletableFuture<Void> silent = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              int n = watches.getAndIncrement();
              if (n < 6) {
                m.socket().close();
              } else if (n == 6) {
                m.answer(HEAD + chunk("\n"));
                silent.complete(null);
              } else if (n > 7) {
                m.answer(
                    HEAD + chunk(change(6, member("s-1", server.address(), "Ready", 0)) + "\n"));
              }
            });
    EdgeNode node =
        start(config().replace("\"discovery\": \"automatic\"", "\"discovery\": \"subscribe\""));
    silent.get();
    assertTrue(
        node.loop().schedule(() -> node.discovery().openedWatches() > 8, 6, TimeUnit.SECONDS).get(),
        "6 s after it fell silent it had not been asked for anew twice");
    awaitServed(node);
  }

  @Test
  void aListMayBeIndented() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    String list =
        change(6, member("s-1", server.address(), "Ready", 0))
                .replace(",", ",\n  ")
                .replace("{", "{\n  ")
            + "\n";
    discovery =
        peer(m -> m.answer(HEAD + chunk(list.substring(0, 20)) + chunk(list.substring(20))));
    EdgeNode node = start(config());
    awaitServed(node);
    assertEquals(1, discovery.seen.size(), "the watch was spoilt by it");
  }

  /**
   * The lines behind a cut list would be taken for its rest, or for a sign that the watch is well.
   */
  @Test
  void aListCutShortIsAskedForAnewAndTheLastOneStays() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    String cut = "{\"revision\":9,\"complete\":true,\"members\":[{\"id\":\"s-";
    for (String sent :
        new String[] {cut, cut + "\n\n\n", cut + "\"\n", "]" + cut, "{}{\n", "no list\n"}) {
      discovery = peer(m -> m.answer(HEAD + chunk(sent)));
      EdgeNode node = node(server);
      discovery.next();
      assertTrue(discovery.next().first().contains("after=5"), sent);
      assertEquals("200", ask(client(node), "t-1"), sent);
    }
  }

  /**
   * Lines go on coming, so that the watch is not silent, and all of them are the cut list's rest.
   */
  @Test
  void aCutListBehindWhichLinesGoOnComingIsAskedForAnew() throws Exception {
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

  /**
   * What the old watch says after a move is read by nobody: it may be older than what the new one
   * told.
   */
  @Test
  void aListThatComesWithTheMoveIsTheNewWatchsToTell() throws Exception {
    ScriptedServer before = peer(m -> m.answer(ScriptedServer.ok("", "before")));
    ScriptedServer after = peer(m -> m.answer(ScriptedServer.ok("", "after")));
    CompletableFuture<ScriptedServer.Message> open = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              m.answer(HEAD + chunk("\n"));
              open.complete(m);
            });
    String config = config(member("s-0", before.address(), "Ready", 0));
    EdgeNode node = start(config);
    ScriptedServer elsewhere =
        peer(
            m ->
                m.answer(
                    HEAD
                        + chunk(
                            change(
                                    9,
                                    member("s-0", before.address(), "Gone", 0)
                                        + ","
                                        + member("s-1", after.address(), "Ready", 0))
                                + "\n")));
    ScriptedServer.Message watch = open.get();
    node.loop()
        .submit(
            () -> {
              node.reload(
                  NodeConfigReader.parse(config.replace(discovery.address(), elsewhere.address())));
              // Written while the loop is held: the node finds it when the move is done.
              watch.answer(chunk(change(8, member("s-2", before.address(), "Ready", 0)) + "\n"));
              return null;
            })
        .get();
    elsewhere.next();
    discovery.ended.take();
    Socket client = client(node);
    String served = "";
    for (int i = 0; !served.equals("after"); i++) {
      order(client, "m-" + i);
      served = ScriptedServer.read(client).body();
    }
    for (int i = 0; i < 8; i++) {
      order(client, "n-" + i);
      assertEquals("after", ScriptedServer.read(client).body());
    }
  }
}
