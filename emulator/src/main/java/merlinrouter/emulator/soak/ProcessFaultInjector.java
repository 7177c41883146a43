package merlinrouter.emulator.soak;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.fleet.NodeTemplate;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.peer.BackgroundThreads;

/**
 * Injects the faults of whole processes that a hard soak test adds, on a thread of its own. They
 * are drawn from a random source of their own, so that the other faults of a seed stay the same.
 */
final class ProcessFaultInjector {
  private static final long MIN_PAUSE_MILLIS = 200;
  private static final long MAX_PAUSE_MILLIS = 1_500;

  /** New connections come for this long after SIGTERM. */
  private static final long MIN_LOAD_BALANCER_DELAY_MILLIS = 200;

  private static final long MAX_LOAD_BALANCER_DELAY_MILLIS = 400;

  private static final int MIN_RELOADS = 2;
  private static final int MAX_RELOADS = 5;
  private static final long MAX_RELOAD_GAP_MILLIS = 10;

  private static final int MIN_NEIGHBORS = 2;
  private static final int MAX_NEIGHBORS = 4;
  private static final long MAX_NEIGHBOR_GAP_MILLIS = 800;

  /** Time before an outage of discovery and after it in which the crowd is there. */
  private static final long CROWD_MARGIN_MILLIS = 400;

  private static final long MIN_OUTAGE_MILLIS = 500;
  private static final long MAX_OUTAGE_MILLIS = 2_500;

  private final Fleet fleet;
  private final InvariantChecker checker;
  private final FaultInjector otherFaults;
  private final NodeRestarter restarter;
  private final FaultLog log;
  private final SplittableRandom random;
  private final List<ProcessFaultKind> kinds;
  private volatile boolean stopped;
  private Thread thread;

  /**
   * Creates an injector that does nothing yet.
   *
   * @param checker is notified of crowds
   * @param otherFaults interrupts discovery
   * @param kinds the kinds of fault to draw from
   */
  ProcessFaultInjector(
      Fleet fleet,
      InvariantChecker checker,
      FaultInjector otherFaults,
      NodeRestarter restarter,
      FaultLog log,
      SplittableRandom random,
      List<ProcessFaultKind> kinds) {
    this.fleet = fleet;
    this.checker = checker;
    this.otherFaults = otherFaults;
    this.restarter = restarter;
    this.log = log;
    this.random = random;
    this.kinds = kinds;
  }

  /** Begins to inject faults. */
  void start() {
    thread = BackgroundThreads.start("process faults", this::run);
  }

  /** Injects no further fault and waits for the one in progress. */
  void stop() throws InterruptedException {
    stopped = true;
    if (thread != null) {
      thread.join();
    }
  }

  private void run() throws IOException, InterruptedException {
    while (!stopped) {
      Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
      ProcessFaultKind kind = kinds.get(random.nextInt(kinds.size()));
      inject(kind, random.nextInt(fleet.nodes().size()), random.split());
    }
  }

  /** Injects one fault; what it draws does not change what later ones draw. */
  private void inject(ProcessFaultKind kind, int nodeNumber, SplittableRandom draws)
      throws IOException, InterruptedException {
    Fleet.Node node = fleet.nodes().get(nodeNumber);
    switch (kind) {
      case TERMINATED_BY_SERIES -> terminate(kind, node, draws);
      case RELOADED_BY_SERIES -> reload(node, draws);
      case KILLED -> {
        log.begins(kind, node.name() + (restarter.kill(node) ? "" : " (is starting already)"));
      }
      case NEIGHBORS_RESTARTED -> restartNeighbors(nodeNumber, draws);
      case CROWDED -> crowd(node, draws);
      default -> throw new IllegalStateException("unknown fault " + kind);
    }
  }

  private void terminate(ProcessFaultKind kind, Fleet.Node node, SplittableRandom draws)
      throws IOException, InterruptedException {
    SignalSeries signals = SignalSeries.drawTermination(draws);
    long loadBalancerDelayMillis =
        draws.nextLong(MIN_LOAD_BALANCER_DELAY_MILLIS, MAX_LOAD_BALANCER_DELAY_MILLIS);
    boolean begun = restarter.restart(node, signals, loadBalancerDelayMillis);
    String details = begun ? signals.toString() : "(is restarting already)";
    log.begins(kind, node.name() + " " + details);
  }

  private void reload(Fleet.Node node, SplittableRandom draws)
      throws IOException, InterruptedException {
    int reloads = draws.nextInt(MIN_RELOADS, MAX_RELOADS + 1);
    log.begins(ProcessFaultKind.RELOADED_BY_SERIES, node.name() + " " + reloads + " times");
    List<String> addresses = List.of(fleet.discovery().address(), fleet.secondDiscoveryAddress());
    for (int i = 0; i < reloads; i++) {
      fleet.configure(node, addresses.get(draws.nextInt(addresses.size())));
      restarter.reload(node);
      Thread.sleep(draws.nextLong(MAX_RELOAD_GAP_MILLIS));
    }
  }

  private void restartNeighbors(int firstNumber, SplittableRandom draws)
      throws IOException, InterruptedException {
    int count = Math.min(fleet.nodes().size(), draws.nextInt(MIN_NEIGHBORS, MAX_NEIGHBORS + 1));
    for (int i = 0; i < count; i++) {
      Fleet.Node node = fleet.nodes().get((firstNumber + i) % fleet.nodes().size());
      terminate(ProcessFaultKind.NEIGHBORS_RESTARTED, node, draws);
      Thread.sleep(draws.nextLong(MAX_NEIGHBOR_GAP_MILLIS));
    }
  }

  private void crowd(Fleet.Node node, SplittableRandom draws)
      throws IOException, InterruptedException {
    long outageMillis = draws.nextLong(MIN_OUTAGE_MILLIS, MAX_OUTAGE_MILLIS);
    boolean shutDown = draws.nextBoolean();
    log.begins(
        ProcessFaultKind.CROWDED,
        node.name()
            + (shutDown ? " and shut down" : "")
            + ", discovery silent for "
            + outageMillis
            + " ms");
    long cameAtNanos = System.nanoTime();
    try (Crowd crowd = new Crowd(node.process().port(), NodeTemplate.maxSockets())) {
      crowd.start();
      Thread.sleep(CROWD_MARGIN_MILLIS);
      otherFaults.interruptDiscovery(outageMillis);
      if (shutDown) {
        restarter.restart(node);
      }
      Thread.sleep(outageMillis + CROWD_MARGIN_MILLIS);
    }
    checker.idleClientsConnected(node.name(), cameAtNanos, System.nanoTime());
    log.add("the crowd at " + node.name() + " has left");
  }
}
