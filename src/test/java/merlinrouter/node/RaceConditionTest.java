package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import merlinrouter.model.ClientRequest;
import merlinrouter.node.config.NodeConfigReader;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.request.ResponseSink;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Two events that cross, forced by their order: a script that waits for its word, a listening
 * socket whose line is full, or the node's own loop held while something happens outside. A span is
 * only ever outlasted, never met.
 */
@Timeout(120)
class RaceConditionTest extends NodeFixture {
  private static final long HOLD = TimeUnit.SECONDS.toNanos(2);

  /** An app server that nobody can connect to until it lets its line go. */
  private final class FullLine implements AutoCloseable {
    private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> line = new ArrayList<>();

    FullLine() throws IOException {
      toClose.add(this);
      try {
        while (true) {
          Socket next = new Socket();
          line.add(next);
          next.connect(listening.getLocalSocketAddress(), 500);
        }
      } catch (SocketTimeoutException e) {
        // Now it is full.
      }
    }

    String address() {
      return "127.0.0.1:" + listening.getLocalPort();
    }

    /** Lets all in and returns the first request that comes, from whichever connection. */
    CompletableFuture<ScriptedServer.Message> open() throws IOException {
      for (Socket socket : line) {
        socket.close();
      }
      CompletableFuture<ScriptedServer.Message> first = new CompletableFuture<>();
      Thread accepting =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Socket socket = listening.accept();
                    Thread reading =
                        new Thread(
                            () -> {
                              try {
                                ScriptedServer.Message message = ScriptedServer.read(socket);
                                if (message != null) {
                                  first.complete(message);
                                  message.answer(ScriptedServer.ok("", "late"));
                                }
                              } catch (IOException e) {
                                // One of the line.
                              }
                            });
                    reading.setDaemon(true);
                    reading.start();
                  }
                } catch (IOException e) {
                  // The test is over.
                }
              });
      accepting.setDaemon(true);
      accepting.start();
      return first;
    }

    @Override
    public void close() throws IOException {
      listening.close();
    }
  }

  /** Waits until the loop says so, however long that takes. */
  private static void until(EdgeNode node, Callable<Boolean> so) throws Exception {
    while (!node.loop().submit(so).get()) {
      Thread.onSpinWait();
    }
  }

  /** Waits until the node has seen its clients leave. */
  private static void allLeft(EdgeNode node) throws Exception {
    while (node.connections() > 0) {
      Thread.onSpinWait();
    }
  }

  private static void lookup(Socket to, String id) throws IOException {
    write(to, "GET /api", headers(id, "lookup", "20000"), "");
  }

  /**
   * A request put in on the loop itself, so that nothing else can come between; completes with its
   * answer.
   */
  private static CompletableFuture<String> take(EdgeNode node, String id) {
    CompletableFuture<String> answer = new CompletableFuture<>();
    ClientRequest request =
        new ClientRequest(id, 1, 0, 7, node.deadline(node.now(), 20_000_000_000L), 1, 1, 0, false);
    node.accept(
        new OpenRequest(
            request,
            HttpMethod.POST,
            "/api",
            "key-" + id,
            Unpooled.EMPTY_BUFFER,
            new ResponseSink() {
              @Override
              public void served(ByteBuf body) {
                answer.complete(body.toString(StandardCharsets.UTF_8));
              }

              @Override
              public void rejected(long retryAfter) {
                answer.complete("refused");
              }

              @Override
              public void failed() {
                answer.complete("failed");
              }

              @Override
              public boolean readAndCheckDisconnected() {
                return false;
              }
            }));
    return answer;
  }

  /** A connect may be out for longer than a request may still be sent on after its client left. */
  @Test
  void aRequestWhoseClientLeftWhileItsConnectWasOutIsNotSent() throws Exception {
    FullLine server = new FullLine();
    EdgeNode node =
        start(
            config(member("s-0", server.address(), "Ready", 0))
                .replace(
                    "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 60000000000"));
    Socket client = client(node);
    lookup(client, "t-1");
    until(node, () -> node.pool().connections() == 1);
    client.close();
    allLeft(node);
    CompletableFuture<ScriptedServer.Message> first = server.open();
    until(node, () -> node.pool().idle() == 1 || first.isDone());
    assertFalse(first.isDone(), "its connect came up, and it was sent with nobody waiting");
    lookup(client(node), "t-2");
    assertEquals("t-2", first.get().headers().get("x-trace-id"));
  }

  @Test
  void aRequestWhoseClientLeftBetweenItsAttemptsIsNotSentAgain() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    ScriptedServer.Script once =
        m -> {
          if (m.headers().get("x-trace-id").equals("t-1")) {
            go.join();
            m.socket().close();
          } else {
            m.answer(ScriptedServer.ok("", "x"));
          }
        };
    ScriptedServer one = peer(once);
    EdgeNode node = node(one);
    Socket client = client(node);
    lookup(client, "t-1");
    one.next();
    client.close();
    allLeft(node);
    go.complete(null);
    until(node, () -> node.pool().connections() == 0);
    lookup(client(node), "t-2");
    assertEquals("t-2", one.next().headers().get("x-trace-id"));
  }

  private String asking(ScriptedServer server) throws IOException {
    return config(member("s-0", server.address(), "Ready", 0))
        .replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 4000000000");
  }

  private static Map<String, String> shared(String id) {
    Map<String, String> headers = headers(id, "order", "20000");
    headers.put("X-Quota", "units=1,spread=2,first=0");
    return headers;
  }

  /**
   * What was sent ahead once stopped the reading at 64 KiB, and the close behind it went unseen.
   */
  @Test
  void aRequestWhoseClientLeftWhileTheCounterWasAskedIsNotSentThoughMuchWasSentAhead()
      throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    counting =
        m -> {
          go.join();
          m.answer(ScriptedServer.ok("", "1"));
        };
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    EdgeNode node = start(asking(server));
    Socket client = client(node);
    write(client, "POST /api", shared("t-1"), "book");
    counter.next();
    for (int i = 0; i < 4; i++) {
      write(client, "POST /api", shared("a-" + i), "x".repeat(40_000));
      if (i == 1) {
        // So the rest comes with a further read.
        until(node, () -> node.held() > 80_000);
      }
    }
    client.close();
    allLeft(node);
    go.complete(null);
    order(client(node), "t-2");
    assertEquals("t-2", server.next().headers().get("x-trace-id"));
  }

  /**
   * The codec read on where reading was turned off: 25 MB once came to be held by one connection.
   */
  @Test
  void whatIsSentAheadIsHeldToABoundHoweverLongItsTurnTakes() throws Exception {
    ScriptedServer server = peer(m -> {});
    EdgeNode node = node(server);
    Socket ahead = client(node);
    order(ahead, "t-1");
    server.next();
    Thread writing =
        new Thread(
            () -> {
              try {
                for (int i = 0; i < 400; i++) {
                  write(
                      ahead,
                      "POST /api",
                      headers("a-" + i, "order", "20000"),
                      "x".repeat(64 * 1024));
                }
              } catch (IOException e) {
                // The test is over.
              }
            });
    writing.setDaemon(true);
    writing.start();
    until(node, () -> node.unread() == 1);
    for (int i = 0; i < 3_000; i++) {
      long held = node.loop().submit(node::held).get();
      assertTrue(held < 600_000, "held: " + held);
    }
  }

  /**
   * Its request and its leaving wait side by side for a loop that was held; the request was once
   * sent first.
   */
  @Test
  void aRequestWhoseClientLeftBeforeItWasReadIsNotSent() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    EdgeNode node = node(server);
    Socket client = client(node);
    while (node.connections() < 1) {
      Thread.onSpinWait();
    }
    node.loop()
        .submit(
            () -> {
              lookup(client, "t-1");
              client.close();
              return null;
            })
        .get();
    allLeft(node);
    lookup(client(node), "t-2");
    assertEquals("t-2", server.next().headers().get("x-trace-id"));
  }

  /**
   * A held loop finds the attempt's end and the client's leaving at once, the attempt's end first.
   */
  @Test
  void aRequestWhoseClientLeftWhileTheLoopWasHeldIsNotSentAgain() throws Exception {
    CompletableFuture<ScriptedServer.Message> sent = new CompletableFuture<>();
    ScriptedServer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-1")) {
                sent.complete(m);
              } else {
                m.answer(ScriptedServer.ok("", "x"));
              }
            });
    EdgeNode node = node(server);
    Socket client = client(node);
    lookup(client, "t-1");
    server.next();
    // Another's connection is idle by then, so that a further attempt would go out at once.
    lookup(client(node), "t-0");
    server.next();
    until(node, () -> node.pool().idle() == 1);
    node.loop().schedule(() -> {}, 30, TimeUnit.MILLISECONDS).get();
    node.loop()
        .submit(
            () -> {
              sent.join()
                  .answer("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
              client.close();
              return null;
            })
        .get();
    allLeft(node);
    lookup(client(node), "t-2");
    assertEquals("t-2", server.next().headers().get("x-trace-id"));
  }

  /** Each was once given 0.2 s again from its turn on. */
  @Test
  void whatWaitsBehindARequestIsNotSentEitherOnceItsClientHasLeftUnseen() throws Exception {
    CompletableFuture<ScriptedServer.Message> sent = new CompletableFuture<>();
    ScriptedServer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-1")) {
                sent.complete(m);
              } else {
                m.answer(ScriptedServer.ok("", "x"));
              }
            });
    EdgeNode node = node(server);
    Socket client = client(node);
    order(client, "t-1");
    server.next();
    for (int i = 0; i < 10; i++) {
      write(client, "POST /api", headers("a-" + i, "order", "20000"), "x".repeat(60_000));
    }
    until(node, () -> node.unread() == 1);
    client.close();
    node.loop()
        .submit(
            () -> {
              Thread.sleep(150);
              sent.join().answer(ScriptedServer.ok("", "x"));
              return null;
            })
        .get();
    allLeft(node);
    order(client(node), "t-2");
    assertEquals("t-2", server.next().headers().get("x-trace-id"));
  }

  /** So short an aim that a request with little time left is still tried. */
  private String hasty(ScriptedServer server) throws IOException {
    return config(member("s-0", server.address(), "Ready", 0))
        .replace("\"aim-ns\": 10000000000", "\"aim-ns\": 400000000");
  }

  /**
   * Its time once began with its turn, so that its answer came when nobody waited for it any more.
   */
  @Test
  void theTimeOfARequestThatWaitsBehindAnotherGoesByMeanwhile() throws Exception {
    CompletableFuture<ScriptedServer.Message> sent = new CompletableFuture<>();
    ScriptedServer server =
        peer(
            m -> {
              if (m.headers().get("x-trace-id").equals("t-1")) {
                sent.complete(m);
              } else {
                m.answer(ScriptedServer.ok("", "x"));
              }
            });
    EdgeNode node = start(hasty(server));
    Socket client = client(node);
    order(client, "t-1");
    server.next();
    write(client, "POST /api", headers("t-2", "order", "400"), "book");
    until(node, () -> node.held() > 100);
    node.loop()
        .submit(
            () -> {
              Thread.sleep(450);
              sent.join().answer(ScriptedServer.ok("", "x"));
              return null;
            })
        .get();
    assertEquals("200", status(ScriptedServer.read(client)));
    assertFalse(status(ScriptedServer.read(client)).equals("200"), "it was served behind its time");
    order(client, "t-3");
    assertEquals("t-3", server.next().headers().get("x-trace-id"));
  }

  /** The same for what a loop that was held has not read yet. */
  @Test
  void theTimeOfARequestThatIsNotReadYetGoesByMeanwhile() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    EdgeNode node = start(hasty(server));
    Socket client = client(node);
    assertEquals("200", ask(client, "t-1"));
    server.next();
    node.loop()
        .submit(
            () -> {
              write(client, "POST /api", headers("t-2", "order", "400"), "book");
              Thread.sleep(450);
              return null;
            })
        .get();
    assertFalse(status(ScriptedServer.read(client)).equals("200"), "it was served behind its time");
    order(client, "t-3");
    assertEquals("t-3", server.next().headers().get("x-trace-id"));
  }

  /**
   * A collection holds the loop for as much longer as the node has less of a core; 12 ms once
   * covered no part.
   */
  @Test
  void theLastAnswerIsDueBeforeACollectionCouldMakeItLate() throws Exception {
    EdgeNode whole = node();
    EdgeNode quarter =
        start(config().replace("\"sockets\": 1024", "\"sockets\": 1024, \"cores\": 0.25"));
    long ms = 1_000_000L;
    assertEquals(976 * ms, whole.deadline(0, 1_000 * ms));
    assertEquals(904 * ms, quarter.deadline(0, 1_000 * ms));
    assertEquals(150 * ms, quarter.deadline(0, 200 * ms), "a short time is not used up by it");
    assertEquals(8 * ms, quarter.deadline(0, 20 * ms), "the way out is left at least");
    assertEquals(ms, quarter.deadline(0, 3 * ms));
  }

  /** Behind still more nothing can be seen: such a request is given up when it has waited. */
  @Test
  void aRequestThatWaitsBeforeMoreThanIsReadAheadIsGivenUp() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    counting =
        m -> {
          go.join();
          m.answer(ScriptedServer.ok("", "1"));
        };
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    EdgeNode node = start(asking(server));
    Socket client = client(node);
    write(client, "POST /api", shared("t-1"), "book");
    counter.next();
    byte[] much = new byte[600_000];
    Arrays.fill(much, (byte) 'x');
    Map<String, String> ahead = shared("a-1");
    write(client, "POST /api", ahead, new String(much, StandardCharsets.US_ASCII));
    until(node, () -> node.unread() == 1);
    node.loop()
        .submit(
            () -> {
              Thread.sleep(250);
              return null;
            })
        .get();
    go.complete(null);
    assertEquals("502", status(ScriptedServer.read(client)));
    order(client(node), "t-2");
    assertEquals("t-2", server.next().headers().get("x-trace-id"));
  }

  /**
   * The loop is held for longer than a connection rests, and what comes meanwhile is not yet seen.
   */
  @Test
  void aSecondAnswerThatComesWhileTheLoopIsHeldIsNotTheNextRequests() throws Exception {
    CompletableFuture<ScriptedServer.Message> answered = new CompletableFuture<>();
    ScriptedServer server =
        peer(
            m -> {
              m.answer(ScriptedServer.ok("", m.headers().get("x-trace-id")));
              answered.complete(m);
            });
    EdgeNode node = node(server);
    assertEquals("200", ask(client(node), "t-1"));
    until(node, () -> node.pool().idle() == 1);
    String next =
        node.loop()
            .submit(
                () -> {
                  Thread.sleep(50);
                  answered.join().answer(ScriptedServer.ok("", "t-1"));
                  return take(node, "t-2");
                })
            .get()
            .get();
    assertEquals("t-2", next);
  }

  /**
   * The sweep comes once a second; a connection may have been closed by its server long before
   * that.
   */
  @Test
  void aConnectionThatStoodIdleForLongIsNotUsedThoughNoSweepHasComeYet() throws Exception {
    ScriptedServer server =
        peer(m -> m.answer(ScriptedServer.ok("", m.headers().get("x-trace-id"))));
    EdgeNode node =
        start(
            config(member("s-0", server.address(), "Ready", 0))
                .replace("\"keepalive-ns\": 30000000000", "\"keepalive-ns\": 400000000"));
    assertEquals("200", ask(client(node), "t-1"));
    Socket first = server.next().socket();
    String next =
        node.loop()
            .submit(
                () -> {
                  Thread.sleep(250);
                  return take(node, "t-2");
                })
            .get()
            .get();
    assertEquals("t-2", next);
    assertFalse(
        server.next().socket() == first, "it went out on the connection that the server may close");
  }

  /**
   * Servers drop repeats for a while only, and a repeat may reach one as late as its connection
   * comes up.
   */
  @Test
  void aRepeatIsNotSentWhereItsConnectionMayComeUpBehindTheKeysWindow() throws Exception {
    ScriptedServer breaks = peer(m -> m.socket().close());
    EdgeNode node =
        start(
            config(member("s-0", breaks.address(), "Ready", 0))
                .replace(
                    "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 40000000000"));
    Socket client = client(node);
    order(client, "t-1");
    assertEquals(
        "429",
        status(ScriptedServer.read(client)),
        "refused at once, since all servers drop repeats");
    assertEquals(1, breaks.seen.size());
  }

  /**
   * SIGTERM before the bind once left a drain that never ended, and a node that went on serving.
   */
  @Test
  void aNodeToldToEndBeforeItsBindNeverServes() throws Exception {
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(config()));
    toClose.add(node);
    node.drain().get(20, TimeUnit.SECONDS);
    Thread starting =
        new Thread(
            () -> {
              try {
                node.start();
              } catch (Exception e) {
                // Ended with the node.
              }
            });
    starting.setDaemon(true);
    starting.start();
    discovery.next();
    assertFalse(node.loop().submit(() -> node.listens()).get());
  }

  /** Between the file's reading and the start the new addresses once had no place to go. */
  @Test
  void aHangUpBeforeTheStartMovesTheFirstWatchOn() throws Exception {
    ScriptedServer elsewhere = peer(m -> m.answer(UNCHANGED));
    String config = config();
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(config));
    toClose.add(node);
    node.reload(NodeConfigReader.parse(config.replace(discovery.address(), elsewhere.address())));
    node.start();
    assertTrue(elsewhere.next().first().contains("after=5"));
    until(node, () -> node.discovery().openWatches() == 1);
  }

  /**
   * A connection accepted and a request written before the grace is over are taken, however late
   * the loop is.
   */
  @Test
  void whatCameBeforeTheGraceEndsIsAnsweredThoughTheLoopWasHeld() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    EdgeNode node = node(server);
    Socket known = client(node);
    assertEquals("200", ask(known, "t-0"));
    CompletableFuture<Void> drained = node.loop().submit(() -> node.drain()).get();
    InetSocketAddress at = (InetSocketAddress) node.address();
    Socket fresh =
        node.loop()
            .submit(
                () -> {
                  Socket made = new Socket(at.getAddress(), at.getPort());
                  made.setSoTimeout(60_000);
                  order(made, "t-1");
                  order(known, "t-2");
                  Thread.sleep(700);
                  return made;
                })
            .get();
    toClose.add(fresh);
    assertEquals("200", status(ScriptedServer.read(fresh)));
    assertEquals("200", status(ScriptedServer.read(known)));
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * The loop takes in 16 connections at a look; those behind them were once closed unread when the
   * grace ended.
   */
  @Test
  void allWhoConnectedBeforeTheGraceEndsAreAnsweredHoweverManyThereAre() throws Exception {
    ScriptedServer server = peer(m -> m.answer(ScriptedServer.ok("", "x")));
    EdgeNode node = node(server);
    CompletableFuture<Void> drained = node.loop().submit(() -> node.drain()).get();
    InetSocketAddress at = (InetSocketAddress) node.address();
    List<Socket> crowd =
        node.loop()
            .submit(
                () -> {
                  List<Socket> made = new ArrayList<>();
                  for (int i = 0; i < 60; i++) {
                    Socket socket = new Socket(at.getAddress(), at.getPort());
                    socket.setSoTimeout(60_000);
                    order(socket, "c-" + i);
                    made.add(socket);
                  }
                  Thread.sleep(700);
                  return made;
                })
            .get();
    toClose.addAll(crowd);
    for (Socket socket : crowd) {
      status(ScriptedServer.read(socket));
    }
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * A line that the operators' side takes late holds the loop between the clock's reading and the
   * second attempt.
   */
  @Test
  void whatALoopIsHeldForWithinAnEventIsTakenFromWhatTheNextAttemptIsTold() throws Exception {
    AtomicBoolean first = new AtomicBoolean(true);
    ScriptedServer.Script script =
        m ->
            m.answer(
                first.getAndSet(false)
                    ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                    : ScriptedServer.ok("", "x"));
    ScriptedServer[] servers = {peer(script), peer(script)};
    EdgeNode node = node(servers);
    Socket client = client(node);
    PrintStream usual = System.out;
    AtomicLong begun = new AtomicLong();
    AtomicLong heldUntil = new AtomicLong();
    System.setOut(
        new PrintStream(usual) {
          @Override
          public void println(String line) {
            if (line.startsWith("endpoint is an outlier")) {
              while (System.nanoTime() - begun.get() < HOLD) {
                Thread.onSpinWait();
              }
              heldUntil.set(System.nanoTime());
            }
            super.println(line);
          }
        });
    try {
      for (int i = 0; heldUntil.get() == 0; i++) {
        first.set(true);
        begun.set(System.nanoTime());
        write(client, "GET /api", headers("t-" + i, "lookup", "20000"), "");
        assertEquals("200", status(ScriptedServer.read(client)));
      }
    } finally {
      System.setOut(usual);
    }
    long most = 20_000 - TimeUnit.NANOSECONDS.toMillis(HOLD) + 150;
    long least = Long.MAX_VALUE;
    for (ScriptedServer server : servers) {
      for (ScriptedServer.Message sent = server.seen.poll();
          sent != null;
          sent = server.seen.poll()) {
        least = Math.min(least, Long.parseLong(sent.headers().get("x-expires-in-ms")));
      }
    }
    assertTrue(least <= most, "told " + least + " ms behind a hold, " + most + " at most");
  }
}
