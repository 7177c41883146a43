package merlinrouter.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.discovery.DiscoveryClient;
import merlinrouter.node.discovery.EndpointStartTimes;
import merlinrouter.node.downstream.ClientListener;
import merlinrouter.node.downstream.MemoryBudget;
import merlinrouter.node.downstream.RequestHandler;
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.monitoring.EventLoopMonitor;
import merlinrouter.node.request.InvariantGuard;
import merlinrouter.node.request.OpenRequest;
import merlinrouter.node.transport.EventLoops;
import merlinrouter.node.transport.PollTimestamps;
import merlinrouter.node.upstream.UpstreamPool;

/**
 * An edge node that serves clients over sockets, with its life cycle: start, reload and graceful
 * shutdown. All of it runs on one event loop, so it needs no locks, and the gateway is never called
 * concurrently.
 */
public final class EdgeNode implements RequestHandler, AutoCloseable {
  /** How long new connections are accepted after SIGTERM; clients open them for up to 0.4 s. */
  private static final long ACCEPT_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final PollTimestamps pollTimestamps = new PollTimestamps();
  private final EventLoopMonitor monitor;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final NodeClock clock = new NodeClock();
  private final NodeConfig config;
  private final NodeLog log;
  private final InvariantGuard guard;
  private final MemoryBudget budget;
  private final DeadlineMargin deadlineMargin;
  private final ShutdownDeadline shutdownDeadline;
  private final GatewayHost host;
  private final EndpointListUpdater endpointUpdater;
  private final DiscoveryClient discovery;
  private final ClientListener clients;

  /** The configuration of a reload that preceded the start; null if there was none. */
  private NodeConfig reloadedBeforeStart;

  /** Creates a node that logs to standard output. */
  public EdgeNode(NodeConfig config) {
    this(config, new NodeLog());
  }

  /** Creates a node that does not serve before {@link #start}. */
  public EdgeNode(NodeConfig config, NodeLog log) {
    this.config = config;
    this.log = log;
    monitor = new EventLoopMonitor(log);
    group =
        EventLoops.newSingleLoopGroup(
            NioIoHandler.newFactory(SelectorProvider.provider(), () -> pollTimestamps), monitor);
    loop = group.next();
    guard = new InvariantGuard(log);
    budget = new MemoryBudget(config.memoryLimitBytes());
    deadlineMargin = new DeadlineMargin(config.cores());
    shutdownDeadline = new ShutdownDeadline(config.settings().requestClasses());
    host =
        new GatewayHost(
            loop,
            config,
            log,
            clock,
            budget,
            guard,
            monitor.responseTimes(),
            newDecodingScheduler());
    EndpointStartTimes startTimes =
        new EndpointStartTimes(config.settings().rules().slowStartDurationNanos(), log);
    endpointUpdater = new EndpointListUpdater(host, startTimes, clock);
    discovery = new DiscoveryClient(endpointUpdater, loop, config, log);
    clients = new ClientListener(this, loop, config, budget, newDecodingScheduler());
  }

  /** Separate ones for clients and endpoints: neither can delay what the others have sent. */
  private DecodingScheduler newDecodingScheduler() {
    return new DecodingScheduler(
        pollTimestamps::pollCount, task -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
  }

  /**
   * Starts serving. Blocks until discovery has reported the changes of the known endpoint list, for
   * a limited time, and the listening socket is bound; never returns if a drain starts before that.
   *
   * @throws ExecutionException if the node cannot start
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void start() throws ExecutionException, InterruptedException {
    loop.submit(this::startOnLoop).get();
    discovery.firstUpdate().get();
    clients.bind().get();
  }

  private void startOnLoop() {
    host.start();
    monitor.start(loop, endpointUpdater::observeClocks);
    EndpointList known = config.knownEndpoints();
    endpointUpdater.endpointsUpdated(known, EndpointUpdateType.CACHED);
    discovery.start(known);
    if (reloadedBeforeStart != null) {
      switchAddresses(reloadedBeforeStart);
    }
  }

  /**
   * Switches to the addresses of discovery and counter in a new configuration. Its other settings
   * are ignored until the next start; client connections, attempts and the endpoint list are not
   * affected. May be called on any thread, also before the start.
   */
  public void reload(NodeConfig changed) {
    loop.execute(
        () -> {
          if (host.isStarted()) {
            switchAddresses(changed);
          } else {
            reloadedBeforeStart = changed;
          }
        });
  }

  private void switchAddresses(NodeConfig changed) {
    discovery.switchTo(changed.discovery());
    if (changed.counter() != null) {
      host.counterClient().switchTo(changed.counter());
    }
  }

  /**
   * Starts a graceful shutdown. All accepted requests still get responses, before the process may
   * be killed. May be called on any thread.
   *
   * @return a future that completes when no client connection is open any more
   */
  public CompletableFuture<Void> drain() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          shutdownDeadline.shutdownStarted(clock.nowNanos());
          host.failOpenRequestsAfter(shutdownDeadline.maxShutdownNanos());
          long graceNanos = clients.startDraining() ? ACCEPT_GRACE_NANOS : 0;
          EventLoops.runAfterNextPoll(loop, graceNanos, () -> clients.stopAccepting(done));
        });
    return done;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Override
  public boolean accept(OpenRequest request) {
    return host.accept(request);
  }

  @Override
  public void clientDisconnected(OpenRequest request) {
    host.clientDisconnected(request);
  }

  /**
   * Returns whether an endpoint list has been received, or discovery has had enough time to send
   * one. Without one the node serves with the list of its configuration.
   */
  @Override
  public boolean isReady() {
    return discovery.isReady();
  }

  @Override
  public long previousPollNanos() {
    return pollTimestamps.previousPollNanos();
  }

  @Override
  public long toGatewayTime(long nanoTime) {
    return clock.fromNanoTime(nanoTime);
  }

  @Override
  public long deadlineNanos(long arrivedAtNanos, long timeoutNanos) {
    return shutdownDeadline.limit(deadlineMargin.deadlineNanos(arrivedAtNanos, timeoutNanos));
  }

  @Override
  public InvariantGuard guard() {
    return guard;
  }

  @Override
  public NodeLog log() {
    return log;
  }

  /** Returns the event loop that the whole node runs on. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns the address that clients connect to; valid after {@link #start}. */
  public SocketAddress address() {
    return clients.address();
  }

  /** Returns the discovery client, which must be used on the event loop only. */
  public DiscoveryClient discovery() {
    return discovery;
  }

  /** Returns how many client connections are open. Must not be called on the event loop. */
  int clientConnectionCount() throws Exception {
    return clients.connectionCount();
  }

  /** Returns how many bytes are held by client requests. Called on the event loop only. */
  long usedRequestBytes() {
    return budget.usedBytes();
  }

  /** Returns how many requests are open. Called on the event loop only. */
  int openRequestCount() {
    return host.openRequestCount();
  }

  /** Returns how many client connections are not being read. Called on the event loop only. */
  int readingPausedCount() {
    return clients.readingPausedCount();
  }

  /** Returns whether the listening socket has been bound. Called on the event loop only. */
  boolean isListening() {
    return clients.isListening();
  }

  UpstreamPool pool() {
    return host.upstreamPool();
  }

  /** Returns the current time by the gateway's clock. */
  long nowNanos() {
    return clock.nowNanos();
  }
}
