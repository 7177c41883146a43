package merlinrouter.emulator.soak;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.fleet.NodeTemplate;
import merlinrouter.emulator.invariant.InvariantChecker;

/**
 * Injects the faults of whole processes that a hard soak test adds, on a separate thread. They are
 * drawn from a separate random source, so that the other faults of a seed stay the same.
 */
final class ProcessFaultInjector {
  private static final long MIN_PAUSE_MILLIS = 200;
  private static final long MAX_PAUSE_MILLIS = 1_500;

  /** Clients may still open connections for at least this long after SIGTERM. */
  private static final long MIN_LOAD_BALANCER_DELAY_MILLIS = 200;

  private static final long MAX_LOAD_BALANCER_DELAY_MILLIS = 400;

  private static final int MIN_RELOADS = 2;
  private static final int MAX_RELOADS = 5;
  private static final long MAX_RELOAD_GAP_MILLIS = 10;

  private static final int MIN_NEIGHBORS = 2;
  private static final int MAX_NEIGHBORS = 4;
  private static final long MAX_NEIGHBOR_GAP_MILLIS = 800;

  /** Time that idle clients are connected before an outage of discovery, and after its end. */
  private static final long IDLE_CLIENT_MARGIN_MILLIS = 400;

  private static final long MIN_OUTAGE_MILLIS = 500;
  private static final long MAX_OUTAGE_MILLIS = 2_500;

  private final Fleet fleet;
  private final InvariantChecker checker;
  private final FaultInjector faultInjector;
  private final NodeRestarter restarter;
  private final FaultLog log;
  private final SplittableRandom random;
  private final List<ProcessFaultKind> kinds;
  private final InjectionThread thread = new InjectionThread("process faults", this::injectNext);

  /**
   * Creates an injector that does nothing until it is started.
   *
   * @param checker is notified of idle clients
   * @param faultInjector starts outages of discovery
   * @param kinds the kinds of fault to draw from
   */
  ProcessFaultInjector(
      Fleet fleet,
      InvariantChecker checker,
      FaultInjector faultInjector,
      NodeRestarter restarter,
      FaultLog log,
      SplittableRandom random,
      List<ProcessFaultKind> kinds) {
    this.fleet = fleet;
    this.checker = checker;
    this.faultInjector = faultInjector;
    this.restarter = restarter;
    this.log = log;
    this.random = random;
    this.kinds = kinds;
  }

  /** Starts to inject faults. */
  void start() {
    thread.start();
  }

  /** Stops the injection of faults and waits for the fault in progress. */
  void stop() throws InterruptedException {
    thread.stop();
  }

  private void injectNext() throws IOException, InterruptedException {
    Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
    ProcessFaultKind kind = kinds.get(random.nextInt(kinds.size()));
    inject(kind, random.nextInt(fleet.nodes().size()), random.split());
  }

  /** Injects one fault. The number of its draws does not change the draws of later faults. */
  private void inject(ProcessFaultKind kind, int nodeNumber, SplittableRandom faultRandom)
      throws IOException, InterruptedException {
    Fleet.Node node = fleet.nodes().get(nodeNumber);
    switch (kind) {
      case TERMINATED_BY_SERIES -> terminate(kind, node, faultRandom);
      case RELOADED_BY_SERIES -> reload(node, faultRandom);
      case KILLED -> {
        log.recordStart(
            kind, node.name() + (restarter.kill(node) ? "" : " (skipped, restart in progress)"));
      }
      case NEIGHBORS_RESTARTED -> restartNeighbors(nodeNumber, faultRandom);
      case CROWDED -> connectIdleClients(node, faultRandom);
      default -> throw new IllegalStateException("unknown fault " + kind);
    }
  }

  private void terminate(ProcessFaultKind kind, Fleet.Node node, SplittableRandom faultRandom)
      throws IOException, InterruptedException {
    SignalSeries signals = SignalSeries.drawTermination(faultRandom);
    long loadBalancerDelayMillis =
        faultRandom.nextLong(MIN_LOAD_BALANCER_DELAY_MILLIS, MAX_LOAD_BALANCER_DELAY_MILLIS);
    boolean started = restarter.restart(node, signals, loadBalancerDelayMillis);
    String details = started ? signals.toString() : "(skipped, restart in progress)";
    log.recordStart(kind, node.name() + " " + details);
  }

  private void reload(Fleet.Node node, SplittableRandom faultRandom)
      throws IOException, InterruptedException {
    int reloads = faultRandom.nextInt(MIN_RELOADS, MAX_RELOADS + 1);
    log.recordStart(ProcessFaultKind.RELOADED_BY_SERIES, node.name() + " " + reloads + " times");
    List<String> addresses = List.of(fleet.discovery().address(), fleet.secondDiscoveryAddress());
    for (int i = 0; i < reloads; i++) {
      fleet.configure(node, addresses.get(faultRandom.nextInt(addresses.size())));
      restarter.reload(node);
      Thread.sleep(faultRandom.nextLong(MAX_RELOAD_GAP_MILLIS));
    }
  }

  private void restartNeighbors(int firstNumber, SplittableRandom faultRandom)
      throws IOException, InterruptedException {
    int count =
        Math.min(fleet.nodes().size(), faultRandom.nextInt(MIN_NEIGHBORS, MAX_NEIGHBORS + 1));
    for (int i = 0; i < count; i++) {
      Fleet.Node node = fleet.nodes().get((firstNumber + i) % fleet.nodes().size());
      terminate(ProcessFaultKind.NEIGHBORS_RESTARTED, node, faultRandom);
      Thread.sleep(faultRandom.nextLong(MAX_NEIGHBOR_GAP_MILLIS));
    }
  }

  private void connectIdleClients(Fleet.Node node, SplittableRandom faultRandom)
      throws IOException, InterruptedException {
    long outageMillis = faultRandom.nextLong(MIN_OUTAGE_MILLIS, MAX_OUTAGE_MILLIS);
    boolean shutDown = faultRandom.nextBoolean();
    log.recordStart(
        ProcessFaultKind.CROWDED,
        node.name()
            + (shutDown ? " with a shutdown" : "")
            + ", discovery unresponsive for "
            + outageMillis
            + " ms");
    long startNanos = System.nanoTime();
    try (IdleClients idleClients =
        new IdleClients(node.process().port(), NodeTemplate.maxSockets())) {
      idleClients.start();
      Thread.sleep(IDLE_CLIENT_MARGIN_MILLIS);
      faultInjector.interruptDiscovery(outageMillis);
      if (shutDown) {
        restarter.restart(node);
      }
      Thread.sleep(outageMillis + IDLE_CLIENT_MARGIN_MILLIS);
    }
    checker.idleClientsConnected(node.name(), startNanos, System.nanoTime());
    log.recordStep("idle clients of " + node.name() + " disconnected");
  }
}
