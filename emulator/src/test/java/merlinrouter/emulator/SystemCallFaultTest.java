package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import merlinrouter.emulator.FaultShim.Call;
import merlinrouter.emulator.MatchServer.Behavior;
import merlinrouter.emulator.MatchServer.Treatment;
import merlinrouter.emulator.RequestRecord.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real node process whose own system calls fail for a moment: no request may pay for it. */
@Timeout(180)
class SystemCallFaultTest {
  private static final Path ROOT = Path.of(System.getProperty("merlinrouter.root", ".."));
  private static final long LONG_WAIT = 2_400;

  /** Shorter than the pause that the network library makes after a failed accept (1 s). */
  private static final long SLOW_ANSWER = 900;

  private static final int PARALLEL = 8;
  private static final int MOST_TURNS = 600;
  private static final long TURN_MILLIS = 20;

  @TempDir Path folder;
  private Fleet fleet;

  @BeforeEach
  void prepare() throws Exception {
    fleet = new Fleet(ROOT, folder);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  private Fleet.Node startNode(MatchServer.Script... scripts) throws Exception {
    for (MatchServer.Script script : scripts) {
      fleet.addServer(script, 0);
    }
    fleet.startNodes(1);
    return fleet.nodes().get(0);
  }

  private static MatchServer.Script always(Behavior behavior, long delayMillis) {
    return id -> new Treatment(behavior, delayMillis);
  }

  private RequestRecord open(RequestClass requestClass, long waitMillis) {
    return fleet.ledger().open("n0", requestClass, waitMillis);
  }

  private RequestRecord exchange(Client client, RequestClass requestClass) throws Exception {
    RequestRecord request = open(requestClass, LONG_WAIT);
    client.exchange(request);
    return request;
  }

  private Client client(Fleet.Node node) {
    return new Client(node.process().port());
  }

  private static void assertServed(RequestRecord request) {
    assertEquals(End.ANSWERED, request.end, request.toString());
    assertEquals(200, request.status, request.toString());
    assertEquals(MatchServer.bodyFor(request.id), request.body, request.toString());
  }

  @Test
  void aClientBehindAFailedAcceptIsServedAtOnce() throws Exception {
    for (Errno error : List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS)) {
      Fleet.Node node =
          fleet.nodes().isEmpty()
              ? startNode(
                  id ->
                      new Treatment(Behavior.ANSWER, fleet.ledger().isMarked(id) ? SLOW_ANSWER : 0))
              : fleet.nodes().get(0);
      Client slow = client(node);
      assertServed(exchange(slow, RequestClass.LOOKUP));
      RequestRecord slowRequest = open(RequestClass.ORDER, LONG_WAIT);
      fleet.ledger().mark(slowRequest.id);
      Thread waiting = Threads.daemon("slow client", () -> slow.exchange(slowRequest));
      node.shim().failNext(Call.ACCEPT, 1, error.number());
      RequestRecord fresh = exchange(client(node), RequestClass.LOOKUP);
      waiting.join();
      assertServed(fresh);
      assertServed(slowRequest);
      assertTrue(
          fresh.endedAt - slowRequest.endedAt < 0, error + ": " + fresh + " behind " + slowRequest);
    }
  }

  @Test
  void theTimeInWhichNoAcceptSucceedsIsTakenFromWhatAServerIsTold() throws Exception {
    Fleet.Node node = startNode(always(Behavior.ANSWER, 0));
    assertServed(exchange(client(node), RequestClass.LOOKUP));
    node.shim().failNext(Call.ACCEPT, 60, Errno.EMFILE.number());
    RequestRecord request = exchange(client(node), RequestClass.LOOKUP);
    assertServed(request);
    assertEquals(List.of(), new Invariants(0).judge(request));
  }

  @Test
  void whoConnectedBeforeAShutdownsGraceEndsIsAnsweredThoughAnAcceptFailed() throws Exception {
    Fleet.Node node = startNode(always(Behavior.ANSWER, 0));
    assertServed(exchange(client(node), RequestClass.LOOKUP));
    node.shim().failNext(Call.ACCEPT, 1, Errno.ENFILE.number());
    List<Client> clients = new ArrayList<>();
    List<RequestRecord> requests = new ArrayList<>();
    List<Thread> waiting = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Client client = client(node);
      RequestRecord request = open(RequestClass.LOOKUP, LONG_WAIT);
      client.send(request, 0);
      clients.add(client);
      requests.add(request);
    }
    node.process().signal("TERM");
    for (int i = 0; i < clients.size(); i++) {
      Client client = clients.get(i);
      RequestRecord request = requests.get(i);
      waiting.add(Threads.daemon("client", () -> client.receive(request)));
    }
    for (Thread thread : waiting) {
      thread.join();
    }
    requests.forEach(request -> assertEquals(End.ANSWERED, request.end, request.toString()));
    assertTrue(node.process().awaitExit(Duration.ofSeconds(60)));
    assertEquals(0, node.process().exitValue());
  }

  @Test
  void anAttemptWhoseOwnSocketFailedIsMadeAgainAtOnce() throws Exception {
    for (Errno error : List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS)) {
      Fleet.Node node =
          fleet.nodes().isEmpty() ? startNode(always(Behavior.ANSWER, 0)) : fleet.nodes().get(0);
      // The counter's connections are up, so that the next one is to the server.
      assertServed(exchange(client(node), RequestClass.LOOKUP));
      fleet.proxy(fleet.servers().get(0)).resetAllAndWait();
      node.shim().failNext(Call.SOCKET, 1, error.number());
      assertServed(exchange(client(node), RequestClass.TRANSFER));
    }
  }

  @Test
  void anAttemptWhoseOwnConnectFailedIsMadeAgainAtOnce() throws Exception {
    for (Errno error : List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS)) {
      Fleet.Node node =
          fleet.nodes().isEmpty() ? startNode(always(Behavior.ANSWER, 0)) : fleet.nodes().get(0);
      // The counter's connections are up, so that the next one is to the server.
      assertServed(exchange(client(node), RequestClass.LOOKUP));
      fleet.proxy(fleet.servers().get(0)).resetAllAndWait();
      node.shim().failNext(Call.CONNECT, 1, error.number());
      assertServed(exchange(client(node), RequestClass.TRANSFER));
      String log = node.process().logText();
      assertFalse(
          log.contains("endpoint is an outlier: s-"),
          error + ", the node's own failure, was taken for its server's: " + log);
    }
  }

  @Test
  void listsAndCountsGoOnAfterSocketsFailedForAWhile() throws Exception {
    Fleet.Node node = startNode(always(Behavior.ANSWER, 0));
    assertServed(exchange(client(node), RequestClass.LOOKUP));
    node.shim().failNext(Call.SOCKET, 24, Errno.ENFILE.number());
    fleet.discovery().resetAll();
    fleet.counter().resetAll();
    Client client = client(node);
    askUntil(client, () -> node.shim().hits(Call.SOCKET) == 24, "no socket failed");
    MatchServer added = fleet.addServer(always(Behavior.ANSWER, 0), 0);
    long calls = fleet.counter().calls();
    askUntil(
        client, () -> fleet.ledger().attemptsAt(added.id()) > 0, "the list was not told any more");
    askUntil(client, () -> fleet.counter().calls() > calls, "the counter was not called any more");
  }

  private void askUntil(Client client, BooleanSupplier done, String otherwise) throws Exception {
    for (int i = 0; i < MOST_TURNS && !done.getAsBoolean(); i++) {
      exchange(client, RequestClass.LOOKUP);
      Thread.sleep(TURN_MILLIS);
    }
    assertTrue(done.getAsBoolean(), otherwise);
  }

  @Test
  void aStartWhoseFirstBindsAndReadsFailStillServes() throws Exception {
    for (Errno error : List.of(Errno.EADDRINUSE, Errno.ENOBUFS)) {
      try (Fleet own = new Fleet(ROOT, folder.resolve(error.name()))) {
        own.addServer(always(Behavior.ANSWER, 0), 0);
        own.startNodes(
            1,
            shim -> {
              shim.failNext(Call.BIND, 2, error.number());
              shim.failNext(Call.OPEN, 2, Errno.EMFILE.number());
            });
        assertEquals(2, own.nodes().get(0).shim().hits(Call.BIND));
        assertEquals(2, own.nodes().get(0).shim().hits(Call.OPEN));
      }
    }
  }

  @Test
  void aHangUpIsObeyedThoughItsFileCouldNotBeReadAtOnce() throws Exception {
    Fleet.Node node = startNode(always(Behavior.ANSWER, 0));
    for (Errno error : List.of(Errno.EMFILE, Errno.EIO)) {
      try (DiscoveryService moved = new DiscoveryService()) {
        node.process()
            .configure(
                NodeConfiguration.of(
                    0,
                    2,
                    node.process().port(),
                    moved,
                    fleet.counter(),
                    fleet.discovery().snapshot()));
        node.shim().failNext(Call.OPEN, 2, error.number());
        node.process().signal("HUP");
        for (int i = 0; i < MOST_TURNS && moved.connections() == 0; i++) {
          Thread.sleep(TURN_MILLIS);
        }
        assertEquals(1, moved.connections(), error + ": " + node.process().logText());
      }
    }
  }

  @Test
  void interruptedWaitsAndShortReadsAndWritesLoseNothing() throws Exception {
    Fleet.Node node = startNode(always(Behavior.ANSWER, 0), always(Behavior.ANSWER, 0));
    node.shim().failEvery(Call.EPOLL_WAIT, 3, Errno.EINTR.number());
    node.shim().failEvery(Call.SHORT_READ, 2, 7);
    node.shim().failEvery(Call.SHORT_WRITE, 2, 7);
    Client client = client(node);
    for (int i = 0; i < 100; i++) {
      assertServed(exchange(client, RequestClass.values()[i % RequestClass.values().length]));
    }
  }

  @Test
  void anInterruptedReadIsNotTheEndOfAConnection() throws Exception {
    Fleet.Node node = startNode(always(Behavior.ANSWER, 0), always(Behavior.ANSWER, 0));
    node.shim().failEvery(Call.READ, 5, Errno.EINTR.number());
    Client client = client(node);
    for (int i = 0; i < 100; i++) {
      assertServed(exchange(client, RequestClass.values()[i % RequestClass.values().length]));
    }
  }

  @Test
  void aServerThatStartsBehindAWallClockStepIsStillColdStarted() throws Exception {
    MatchServer.Script script = always(Behavior.ANSWER, 10);
    Fleet.Node node = startNode(script, script, script, script);
    askInParallel(node, 400);
    for (Duration step : List.of(Duration.ofHours(-1), Duration.ofHours(1))) {
      node.shim().setWallClockOffset(step);
      // Servers tell their start by the same wall clock that the node reads.
      MatchServer started = fleet.addServer(script, System.currentTimeMillis() + step.toMillis());
      askInParallel(node, 400);
      long attempts = fleet.ledger().attemptsAt(started.id());
      assertTrue(
          attempts <= 40,
          step + ": " + attempts + " of 400 went to a server that had just started");
    }
  }

  private void askInParallel(Fleet.Node node, int requests) throws Exception {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < PARALLEL; i++) {
      Client client = client(node);
      threads.add(
          Threads.daemon(
              "client",
              () -> {
                for (int j = 0; j < requests / PARALLEL; j++) {
                  client.exchange(open(RequestClass.LOOKUP, LONG_WAIT));
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  @Test
  void wholeAnswersWithoutALengthArePassedOnAndResetOnesAreNot() throws Exception {
    Fleet.Node node =
        startNode(
            id ->
                new Treatment(
                    fleet.ledger().isMarked(id)
                        ? Behavior.RESET_WITHOUT_LENGTH
                        : Behavior.ANSWER_WITHOUT_LENGTH,
                    0));
    Client client = client(node);
    for (int i = 0; i < 40; i++) {
      assertServed(exchange(client, RequestClass.values()[i % RequestClass.values().length]));
    }
    for (int i = 0; i < 40; i++) {
      RequestRecord request = open(RequestClass.TRANSFER, LONG_WAIT);
      fleet.ledger().mark(request.id);
      client.exchange(request);
      assertEquals(End.ANSWERED, request.end, request.toString());
      assertEquals(502, request.status, request.toString());
    }
  }
}
