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
      resources.add(this);
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
                                ScriptedServer.Message message = ScriptedServer.readMessage(socket);
                                if (message != null) {
                                  first.complete(message);
                                  message.respond(ScriptedServer.okResponse("", "late"));
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
    writeRequest(to, "GET /api", requestHeaders(id, "lookup", "20000"), "");
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
        startNode(
            configJson(readyEndpointJson("s-0", server.address()))
                .replace(
                    "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 60000000000"));
    Socket client = connect(node);
    lookup(client, "t-1");
    until(node, () -> node.pool().connections() == 1);
    client.close();
    allLeft(node);
    CompletableFuture<ScriptedServer.Message> first = server.open();
    until(node, () -> node.pool().idle() == 1 || first.isDone());
    assertFalse(first.isDone(), "its connect came up, and it was sent with nobody waiting");
    lookup(connect(node), "t-2");
    assertEquals("t-2", first.get().requestId());
  }

  @Test
  void aRequestWhoseClientLeftBetweenItsAttemptsIsNotSentAgain() throws Exception {
    CompletableFuture<Void> go = new CompletableFuture<>();
    ScriptedServer.Script once =
        request -> {
          if (request.requestId().equals("t-1")) {
            go.join();
            request.connection().close();
          } else {
            request.respond(ScriptedServer.okResponse("", "x"));
          }
        };
    ScriptedServer one = startServer(once);
    EdgeNode node = startNode(one);
    Socket client = connect(node);
    lookup(client, "t-1");
    one.awaitRequest();
    client.close();
    allLeft(node);
    go.complete(null);
    until(node, () -> node.pool().connections() == 0);
    lookup(connect(node), "t-2");
    assertEquals("t-2", one.awaitRequest().requestId());
  }

  private String asking(ScriptedServer server) throws IOException {
    return configJson(readyEndpointJson("s-0", server.address()))
        .replace("\"count-wait-ns\": 50000000", "\"count-wait-ns\": 4000000000");
  }

  private static Map<String, String> shared(String id) {
    Map<String, String> headers = requestHeaders(id, "order", "20000");
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
    counterScript =
        request -> {
          go.join();
          request.respond(ScriptedServer.okResponse("", "1"));
        };
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(asking(server));
    Socket client = connect(node);
    writeRequest(client, "POST /api", shared("t-1"), "book");
    counter.awaitRequest();
    for (int i = 0; i < 4; i++) {
      writeRequest(client, "POST /api", shared("a-" + i), "x".repeat(40_000));
      if (i == 1) {
        // So the rest comes with a further read.
        until(node, () -> node.held() > 80_000);
      }
    }
    client.close();
    allLeft(node);
    go.complete(null);
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * The codec read on where reading was turned off: 25 MB once came to be held by one connection.
   */
  @Test
  void whatIsSentAheadIsHeldToABoundHoweverLongItsTurnTakes() throws Exception {
    ScriptedServer server = startServer(request -> {});
    EdgeNode node = startNode(server);
    Socket ahead = connect(node);
    writeKeyedRequest(ahead, "t-1");
    server.awaitRequest();
    Thread writing =
        new Thread(
            () -> {
              try {
                for (int i = 0; i < 400; i++) {
                  writeRequest(
                      ahead,
                      "POST /api",
                      requestHeaders("a-" + i, "order", "20000"),
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
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    Socket client = connect(node);
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
    lookup(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * A held loop finds the attempt's end and the client's leaving at once, the attempt's end first.
   */
  @Test
  void aRequestWhoseClientLeftWhileTheLoopWasHeldIsNotSentAgain() throws Exception {
    CompletableFuture<ScriptedServer.Message> sent = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              if (request.requestId().equals("t-1")) {
                sent.complete(request);
              } else {
                request.respond(ScriptedServer.okResponse("", "x"));
              }
            });
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    lookup(client, "t-1");
    server.awaitRequest();
    // Another's connection is idle by then, so that a further attempt would go out at once.
    lookup(connect(node), "t-0");
    server.awaitRequest();
    until(node, () -> node.pool().idle() == 1);
    node.loop().schedule(() -> {}, 30, TimeUnit.MILLISECONDS).get();
    node.loop()
        .submit(
            () -> {
              sent.join()
                  .respond("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
              client.close();
              return null;
            })
        .get();
    allLeft(node);
    lookup(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /** Each was once given 0.2 s again from its turn on. */
  @Test
  void whatWaitsBehindARequestIsNotSentEitherOnceItsClientHasLeftUnseen() throws Exception {
    CompletableFuture<ScriptedServer.Message> sent = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              if (request.requestId().equals("t-1")) {
                sent.complete(request);
              } else {
                request.respond(ScriptedServer.okResponse("", "x"));
              }
            });
    EdgeNode node = startNode(server);
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    server.awaitRequest();
    for (int i = 0; i < 10; i++) {
      writeRequest(
          client, "POST /api", requestHeaders("a-" + i, "order", "20000"), "x".repeat(60_000));
    }
    until(node, () -> node.unread() == 1);
    client.close();
    node.loop()
        .submit(
            () -> {
              Thread.sleep(150);
              sent.join().respond(ScriptedServer.okResponse("", "x"));
              return null;
            })
        .get();
    allLeft(node);
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /** So short an aim that a request with little time left is still tried. */
  private String hasty(ScriptedServer server) throws IOException {
    return configJson(readyEndpointJson("s-0", server.address()))
        .replace("\"aim-ns\": 10000000000", "\"aim-ns\": 400000000");
  }

  /**
   * Its time once began with its turn, so that its answer came when nobody waited for it any more.
   */
  @Test
  void theTimeOfARequestThatWaitsBehindAnotherGoesByMeanwhile() throws Exception {
    CompletableFuture<ScriptedServer.Message> sent = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              if (request.requestId().equals("t-1")) {
                sent.complete(request);
              } else {
                request.respond(ScriptedServer.okResponse("", "x"));
              }
            });
    EdgeNode node = startNode(hasty(server));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    server.awaitRequest();
    writeRequest(client, "POST /api", requestHeaders("t-2", "order", "400"), "book");
    until(node, () -> node.held() > 100);
    node.loop()
        .submit(
            () -> {
              Thread.sleep(450);
              sent.join().respond(ScriptedServer.okResponse("", "x"));
              return null;
            })
        .get();
    assertEquals("200", readStatus(client));
    assertFalse(readStatus(client).equals("200"), "it was served behind its time");
    writeKeyedRequest(client, "t-3");
    assertEquals("t-3", server.awaitRequest().requestId());
  }

  /** The same for what a loop that was held has not read yet. */
  @Test
  void theTimeOfARequestThatIsNotReadYetGoesByMeanwhile() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(hasty(server));
    Socket client = connect(node);
    assertEquals("200", requestStatus(client, "t-1"));
    server.awaitRequest();
    node.loop()
        .submit(
            () -> {
              writeRequest(client, "POST /api", requestHeaders("t-2", "order", "400"), "book");
              Thread.sleep(450);
              return null;
            })
        .get();
    assertFalse(readStatus(client).equals("200"), "it was served behind its time");
    writeKeyedRequest(client, "t-3");
    assertEquals("t-3", server.awaitRequest().requestId());
  }

  /**
   * A collection holds the loop for as much longer as the node has less of a core; 12 ms once
   * covered no part.
   */
  @Test
  void theLastAnswerIsDueBeforeACollectionCouldMakeItLate() throws Exception {
    EdgeNode whole = startNode();
    EdgeNode quarter =
        startNode(configJson().replace("\"sockets\": 1024", "\"sockets\": 1024, \"cores\": 0.25"));
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
    counterScript =
        request -> {
          go.join();
          request.respond(ScriptedServer.okResponse("", "1"));
        };
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(asking(server));
    Socket client = connect(node);
    writeRequest(client, "POST /api", shared("t-1"), "book");
    counter.awaitRequest();
    byte[] much = new byte[600_000];
    Arrays.fill(much, (byte) 'x');
    Map<String, String> ahead = shared("a-1");
    writeRequest(client, "POST /api", ahead, new String(much, StandardCharsets.US_ASCII));
    until(node, () -> node.unread() == 1);
    node.loop()
        .submit(
            () -> {
              Thread.sleep(250);
              return null;
            })
        .get();
    go.complete(null);
    assertEquals("502", readStatus(client));
    writeKeyedRequest(connect(node), "t-2");
    assertEquals("t-2", server.awaitRequest().requestId());
  }

  /**
   * The loop is held for longer than a connection rests, and what comes meanwhile is not yet seen.
   */
  @Test
  void aSecondAnswerThatComesWhileTheLoopIsHeldIsNotTheNextRequests() throws Exception {
    CompletableFuture<ScriptedServer.Message> answered = new CompletableFuture<>();
    ScriptedServer server =
        startServer(
            request -> {
              request.respond(ScriptedServer.okResponse("", request.requestId()));
              answered.complete(request);
            });
    EdgeNode node = startNode(server);
    assertEquals("200", requestStatus(connect(node), "t-1"));
    until(node, () -> node.pool().idle() == 1);
    String next =
        node.loop()
            .submit(
                () -> {
                  Thread.sleep(50);
                  answered.join().respond(ScriptedServer.okResponse("", "t-1"));
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
        startServer(request -> request.respond(ScriptedServer.okResponse("", request.requestId())));
    EdgeNode node =
        startNode(
            configJson(readyEndpointJson("s-0", server.address()))
                .replace("\"keepalive-ns\": 30000000000", "\"keepalive-ns\": 400000000"));
    assertEquals("200", requestStatus(connect(node), "t-1"));
    Socket first = server.awaitRequest().connection();
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
        server.awaitRequest().connection() == first,
        "it went out on the connection that the server may close");
  }

  /**
   * Servers drop repeats for a while only, and a repeat may reach one as late as its connection
   * comes up.
   */
  @Test
  void aRepeatIsNotSentWhereItsConnectionMayComeUpBehindTheKeysWindow() throws Exception {
    ScriptedServer breaks = startServer(request -> request.connection().close());
    EdgeNode node =
        startNode(
            configJson(readyEndpointJson("s-0", breaks.address()))
                .replace(
                    "\"connect-timeout-ns\": 250000000", "\"connect-timeout-ns\": 40000000000"));
    Socket client = connect(node);
    writeKeyedRequest(client, "t-1");
    assertEquals("429", readStatus(client), "refused at once, since all servers drop repeats");
    assertEquals(1, breaks.received.size());
  }

  /**
   * SIGTERM before the bind once left a drain that never ended, and a node that went on serving.
   */
  @Test
  void aNodeToldToEndBeforeItsBindNeverServes() throws Exception {
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(configJson()));
    resources.add(node);
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
    discovery.awaitRequest();
    assertFalse(node.loop().submit(() -> node.listens()).get());
  }

  /** Between the file's reading and the start the new addresses once had no place to go. */
  @Test
  void aHangUpBeforeTheStartMovesTheFirstWatchOn() throws Exception {
    ScriptedServer elsewhere = startServer(request -> request.respond(UNCHANGED_LIST));
    String config = configJson();
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(config));
    resources.add(node);
    node.reload(NodeConfigReader.parse(config.replace(discovery.address(), elsewhere.address())));
    node.start();
    assertTrue(elsewhere.awaitRequest().startLine().contains("after=5"));
    until(node, () -> node.discovery().openWatches() == 1);
  }

  /**
   * A connection accepted and a request written before the grace is over are taken, however late
   * the loop is.
   */
  @Test
  void whatCameBeforeTheGraceEndsIsAnsweredThoughTheLoopWasHeld() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
    Socket known = connect(node);
    assertEquals("200", requestStatus(known, "t-0"));
    CompletableFuture<Void> drained = node.loop().submit(() -> node.drain()).get();
    InetSocketAddress at = (InetSocketAddress) node.address();
    Socket fresh =
        node.loop()
            .submit(
                () -> {
                  Socket made = new Socket(at.getAddress(), at.getPort());
                  made.setSoTimeout(60_000);
                  writeKeyedRequest(made, "t-1");
                  writeKeyedRequest(known, "t-2");
                  Thread.sleep(700);
                  return made;
                })
            .get();
    resources.add(fresh);
    assertEquals("200", readStatus(fresh));
    assertEquals("200", readStatus(known));
    drained.get(60, TimeUnit.SECONDS);
  }

  /**
   * The loop takes in 16 connections at a look; those behind them were once closed unread when the
   * grace ended.
   */
  @Test
  void allWhoConnectedBeforeTheGraceEndsAreAnsweredHoweverManyThereAre() throws Exception {
    ScriptedServer server = startOkServer("x");
    EdgeNode node = startNode(server);
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
                    writeKeyedRequest(socket, "c-" + i);
                    made.add(socket);
                  }
                  Thread.sleep(700);
                  return made;
                })
            .get();
    resources.addAll(crowd);
    for (Socket socket : crowd) {
      readStatus(socket);
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
        request ->
            request.respond(
                first.getAndSet(false)
                    ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
                    : ScriptedServer.okResponse("", "x"));
    ScriptedServer[] servers = {startServer(script), startServer(script)};
    EdgeNode node = startNode(servers);
    Socket client = connect(node);
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
        writeRequest(client, "GET /api", requestHeaders("t-" + i, "lookup", "20000"), "");
        assertEquals("200", readStatus(client));
      }
    } finally {
      System.setOut(usual);
    }
    long most = 20_000 - TimeUnit.NANOSECONDS.toMillis(HOLD) + 150;
    long least = Long.MAX_VALUE;
    for (ScriptedServer server : servers) {
      for (ScriptedServer.Message sent = server.received.poll();
          sent != null;
          sent = server.received.poll()) {
        least = Math.min(least, Long.parseLong(sent.headers().get("x-expires-in-ms")));
      }
    }
    assertTrue(least <= most, "told " + least + " ms behind a hold, " + most + " at most");
  }
}
