package merlinrouter.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import merlinrouter.gateway.Gateway;
import merlinrouter.gateway.GatewayActions;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.counter.CounterClient;
import merlinrouter.node.counter.CounterResult;
import merlinrouter.node.discovery.DiscoveryClient;
import merlinrouter.node.discovery.EndpointListListener;
import merlinrouter.node.discovery.EndpointStartTimes;
import merlinrouter.node.downstream.ClientListener;
import merlinrouter.node.downstream.MemoryBudget;
import merlinrouter.node.downstream.RequestHandler;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.InvariantGuard;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.transport.PollTimestamps;
import merlinrouter.node.upstream.AttemptListener;
import merlinrouter.node.upstream.CompletedAttempt;
import merlinrouter.node.upstream.UpstreamPool;
import merlinrouter.settings.RequestClass;

/**
 * A real edge node: carries what happens on the sockets to the decision module and its actions
 * back. All of it runs on one event loop thread, so nothing here is locked and the module's
 * contract of one caller holds.
 */
public final class EdgeNode
    implements GatewayActions,
        RequestHandler,
        AttemptListener,
        EndpointListListener,
        AutoCloseable {
  private static final long MS = 1_000_000L;

  /**
   * By so much the module sees each deadline early: its last answer is written before the client
   * leaves. That is the way out, and the work that may come first: a collection of the young
   * generation takes up to 24 ms of a core (measured, as is that nothing usual takes longer). On a
   * part of a core it takes as much longer.
   */
  private static final long WAY_OUT = 12 * MS, HELD = 24 * MS;

  /** Of a short time no more than this part, or hardly any request of it could be served. Ours. */
  private static final int MARGIN_PART = 4;

  /**
   * So long behind the deadline that it is told a request that the module has left unanswered is
   * failed.
   */
  private static final long LATE_MODULE = 6 * MS;

  /** How long connections go on coming after SIGTERM (0.4 s at most), and some more. */
  private static final long DRAIN_GRACE = 600 * MS;

  /** How often the wall clock is compared with the monotonic one. */
  private static final long CLOCK_LOOK = 500 * MS;

  /** A turn of the loop that is late by more than this is counted: the rules allow for 0.15 s. */
  private static final long LOOP_HELD = 150 * MS;

  private final PollTimestamps looks = new PollTimestamps();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> looks));
  private final EventLoop loop = group.next();

  /** The module's clock is monotonic; it starts at the wall's time, which nothing relies on. */
  private final long clockOffset = System.currentTimeMillis() * MS - System.nanoTime();

  private final NodeLog log;
  private final InvariantGuard guard;
  private final Map<String, OpenRequest> open = new HashMap<>();
  private final EndpointStartTimes startTimes;
  private final MemoryBudget budget;
  private final UpstreamPool pool;
  private final CounterClient counter;
  private final DiscoveryClient discovery;
  private final ClientListener clients;
  private final NodeConfig config;
  private Gateway gateway;
  private NodeConfig early;
  private boolean inside;

  /** When the event began that the module is handling. */
  private long eventAt;

  private long lastHousekeeping = System.nanoTime();

  public EdgeNode(NodeConfig config) {
    this(config, new NodeLog());
  }

  public EdgeNode(NodeConfig config, NodeLog log) {
    this.config = config;
    this.log = log;
    guard = new InvariantGuard(log);
    budget = new MemoryBudget(config.memoryLimitBytes());
    startTimes = new EndpointStartTimes(config.settings().rules().slowStartDurationNanos(), log);
    pool = new UpstreamPool(this, loop, config, log);
    counter = new CounterClient(this::counterCallEnded, loop, config);
    discovery = new DiscoveryClient(this, loop, config, log);
    clients = new ClientListener(this, loop, config, budget);
  }

  /** Begins to serve; returns when the listening socket is bound. */
  public void start() throws Exception {
    loop.submit(
            () -> {
              gateway = new Gateway(config.settings(), config.seed(), now(), this);
              loop.scheduleAtFixedRate(
                  this::housekeeping, CLOCK_LOOK, CLOCK_LOOK, TimeUnit.NANOSECONDS);
              endpointsUpdated(config.knownEndpoints(), EndpointUpdateType.CACHED);
              discovery.start(config.knownEndpoints().revision());
              if (early != null) {
                move(early);
              }
            })
        .get();
    clients.bind().get();
  }

  private void housekeeping() {
    long now = System.nanoTime();
    if (now - lastHousekeeping > CLOCK_LOOK + LOOP_HELD) {
      log.count(NodeLog.Event.EVENT_LOOP_STALLED);
    }
    lastHousekeeping = now;
    lookAtClocks();
    log.tick();
  }

  /** Where clients connect. */
  public SocketAddress address() {
    return clients.address();
  }

  /** How many clients' connections are open. */
  int connections() throws Exception {
    return clients.connectionCount();
  }

  public EventLoop loop() {
    return loop;
  }

  @Override
  public InvariantGuard guard() {
    return guard;
  }

  @Override
  public NodeLog log() {
    return log;
  }

  /** How many bytes clients' requests hold. */
  long held() {
    return budget.usedBytes();
  }

  /**
   * How many of these wait unread behind a request; asked on the loop, as is whether the node
   * listens.
   */
  int unread() {
    return clients.readingPausedCount();
  }

  boolean listens() {
    return clients.isListening();
  }

  UpstreamPool pool() {
    return pool;
  }

  public DiscoveryClient discovery() {
    return discovery;
  }

  /**
   * Goes over to the addresses of a new configuration. Clients, attempts, the module and its list
   * stay as they are, and all else in the file is for the next start.
   */
  public void reload(NodeConfig changed) {
    loop.execute(
        () -> {
          if (gateway == null) {
            // A hang-up between the file's reading and the start: its turn is right behind that.
            early = changed;
          } else {
            move(changed);
          }
        });
  }

  private void move(NodeConfig changed) {
    discovery.move(changed.discovery());
    if (changed.counter() != null) {
      counter.move(changed.counter());
    }
  }

  /** Answers all that was taken and completes when no client's connection is open any more. */
  public CompletableFuture<Void> drain() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          long grace = clients.startDraining() ? DRAIN_GRACE : 0;
          // The second task comes after one more look at the sockets: who came before the first is
          // let in.
          loop.schedule(
              () -> loop.schedule(() -> clients.stopAccepting(done), 0, TimeUnit.NANOSECONDS),
              grace,
              TimeUnit.NANOSECONDS);
        });
    return done;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  long now() {
    return toGatewayTime(System.nanoTime());
  }

  @Override
  public long toGatewayTime(long nanoTime) {
    return nanoTime + clockOffset;
  }

  @Override
  public long previousPollNanos() {
    return looks.previousPollNanos();
  }

  /**
   * Runs one event of the module. Sockets may report within an action, that is within an event, and
   * the module must not be entered twice: such a report waits for the loop.
   */
  private void event(OpenRequest about, LongConsumer call) {
    if (inside) {
      loop.execute(() -> event(about, call));
      return;
    }
    inside = true;
    eventAt = now();
    try {
      call.accept(eventAt);
    } catch (RuntimeException e) {
      // One request's trouble must not end the process, nor leave that request without an answer.
      ErrorLog.report("the module failed", e);
      if (about != null) {
        fail(about);
        // The module must not go on counting it; an attempt that is out still ends.
        loop.execute(() -> event(null, now -> gateway.clientDisconnected(now, about.request.id())));
      }
    } finally {
      inside = false;
    }
  }

  public static void trouble(String what, Throwable e) {
    ErrorLog.report(what, e);
  }

  /** The list of app servers, or changes to it. */
  @Override
  public void endpointsUpdated(EndpointList roll, EndpointUpdateType kind) {
    List<Endpoint> told = pool.update(withMonotonicStarts(roll), kind != EndpointUpdateType.DELTA);
    event(null, now -> gateway.endpointsUpdated(now, kind, told));
  }

  private EndpointList withMonotonicStarts(EndpointList roll) {
    lookAtClocks();
    long now = now();
    List<EndpointEntry> members = new ArrayList<>();
    Set<String> named = new HashSet<>();
    for (EndpointEntry member : roll.entries()) {
      Endpoint server = member.endpoint();
      named.add(server.id());
      long started = startTimes.toMonotonicNanos(server.id(), server.startedAtNanos(), now);
      members.add(new EndpointEntry(server.withStartedAtNanos(started), member.address()));
      if (server.state() == EndpointState.REMOVED) {
        startTimes.forget(server.id());
      }
    }
    if (roll.complete()) {
      startTimes.retain(named);
    }
    return new EndpointList(roll.revision(), roll.complete(), members);
  }

  private void lookAtClocks() {
    startTimes.observeClocks(now(), System.currentTimeMillis() * MS);
  }

  /**
   * Whether discovery has been heard, or has been silent for so long that the known list must do.
   */
  @Override
  public boolean isReady() {
    return discovery.isReady();
  }

  @Override
  public long deadline(long now, long span) {
    long margin = Math.max(WAY_OUT, Math.min((long) (HELD / config.cores()), span / MARGIN_PART));
    return now + Math.max(MS, span - margin);
  }

  @Override
  public boolean accept(OpenRequest taken) {
    if (open.putIfAbsent(taken.request.id(), taken) != null) {
      return false;
    }
    long left = taken.request.deadlineNanos() + LATE_MODULE - now();
    // The backstop for a module that is late: no request may be left without an answer.
    taken.overdue = loop.schedule(() -> overdue(taken), Math.max(0, left), TimeUnit.NANOSECONDS);
    budget.change(taken.body.readableBytes());
    event(taken, now -> gateway.requestReceived(now, taken.request));
    return true;
  }

  private void overdue(OpenRequest late) {
    if (!late.answered) {
      log.request(
          NodeLog.Event.OVERDUE,
          late.request.id(),
          late.attempts + " attempts, " + (late.attemptOut ? "one out" : "none out"));
      fail(late);
      event(null, now -> gateway.clientDisconnected(now, late.request.id()));
    }
  }

  @Override
  public void clientDisconnected(OpenRequest gone) {
    if (gone.answerOnce() != null) {
      log.count(NodeLog.Event.CLIENT_DISCONNECTED);
      settle(gone);
      event(gone, now -> gateway.clientDisconnected(now, gone.request.id()));
    }
  }

  /** An attempt ended; {@code body} is an app server's whole 200 answer, and stays the caller's. */
  @Override
  public void attemptEnded(CompletedAttempt ended) {
    OpenRequest of = ended.request();
    Outcome outcome = ended.outcome();
    long took = ended.durationNanos();
    of.attemptOut = false;
    guard.attemptEnded(of, outcome, now() - took);
    int attempt = of.attempts - 1;
    if (outcome == Outcome.OK) {
      OpenRequest.Answers answers = of.answerOnce();
      if (answers != null) {
        answers.served(ended.body());
      }
    }
    boolean complete = of.answered;
    event(
        of,
        now ->
            gateway.attemptEnded(
                now,
                new AttemptResult(
                    of.request.id(),
                    outcome,
                    took,
                    ended.endpointId(),
                    complete,
                    attempt,
                    ended.chargedUnits(),
                    List.of())));
    settle(of);
  }

  private void counterCallEnded(CounterResult result) {
    event(
        null,
        now ->
            gateway.counterCallEnded(now, result.counterKey(), result.outcome(), result.total()));
  }

  /** Forgets a request once it is answered and no attempt of it is out. */
  private void settle(OpenRequest of) {
    if (of.answered && !of.attemptOut && open.remove(of.request.id(), of)) {
      of.overdue.cancel(false);
      budget.change(-of.body.readableBytes());
      of.body.release();
    }
  }

  @Override
  public void startAttempt(String id, String server, long patience) {
    OpenRequest of = open.get(id);
    if (of != null && !of.attemptOut && !of.awaited()) {
      fail(of);
    }
    if (of != null && of.answered) {
      log.count(NodeLog.Event.ATTEMPT_SKIPPED);
    }
    if (of == null || of.answered || !guard.maySend(of, classOf(of), now())) {
      // It may not go out, but the module counts it as out until it hears how it ended.
      AttemptResult moot =
          new AttemptResult(
              id, Outcome.NOT_SENT, 0, server, of == null || of.answered, 0, 0, List.of());
      loop.execute(() -> event(null, now -> gateway.attemptEnded(now, moot)));
      return;
    }
    if (of.attempts > 0) {
      log.count(NodeLog.Event.RETRIED);
    }
    of.attempts++;
    of.attemptOut = true;
    // The module counts from its event's clock; the loop may have been held since.
    pool.send(of, server, Math.max(MS, patience - (now() - eventAt)));
  }

  private RequestClass classOf(OpenRequest of) {
    return config.settings().requestClasses().get(of.request.classIndex());
  }

  @Override
  public void reject(String id, long retryAfter) {
    OpenRequest of = open.get(id);
    OpenRequest.Answers answers = of == null ? null : of.answerOnce();
    if (answers != null) {
      log.count(NodeLog.Event.REJECTED);
      answers.refused(retryAfter);
      settle(of);
    }
  }

  @Override
  public void fail(String id) {
    OpenRequest of = open.get(id);
    if (of != null) {
      fail(of);
    }
  }

  private void fail(OpenRequest of) {
    OpenRequest.Answers answers = of.answerOnce();
    if (answers != null) {
      log.request(NodeLog.Event.FAILED, of.request.id(), "after " + of.attempts + " attempts");
      answers.failed();
      settle(of);
    }
  }

  @Override
  public void startHealthCheck(String server) {
    // The site does not allow it, and the module asks only where the settings do.
  }

  @Override
  public void addToCounter(long name, double amount, long lifetime) {
    counter.add(name, amount, lifetime);
  }

  @Override
  public void scheduleTimer(long token, long span) {
    loop.schedule(
        () -> event(null, now -> gateway.timerFired(now, token)), span, TimeUnit.NANOSECONDS);
  }

  @Override
  public void subscribeToEndpoints() {
    // Discovery is watched from the start and again whenever a watch ends.
  }

  @Override
  public void log(String text) {
    log.line(text);
  }
}
