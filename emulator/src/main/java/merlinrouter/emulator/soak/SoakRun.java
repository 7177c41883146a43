package merlinrouter.emulator.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.invariant.Violation;
import merlinrouter.emulator.request.Attempt;
import merlinrouter.emulator.request.RequestRecord;

/** One soak test: overlapping random faults over real node processes with steady traffic. */
final class SoakRun implements AutoCloseable {
  /** A request during which the emulator was stalled for longer than this proves nothing. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /** Start of the line by which a node reports that it would have violated an invariant. */
  private static final String VIOLATION_LOG_PREFIX = "invariant violated";

  private final Fleet fleet;
  private final InvariantChecker checker;
  private final SplittableRandom random;
  private final StallMonitor stalls = new StallMonitor();
  private final Timers timers = new Timers();
  private final Map<String, NodeTraffic> trafficByNodeName = new LinkedHashMap<>();
  private final List<NodeFault> nodeFaults = Collections.synchronizedList(new ArrayList<>());

  /**
   * Prepares a run.
   *
   * @param fleet a fleet without nodes and servers; closed with the run
   * @param seed determines the clients' choices
   * @param emulatorDelayMillis allowance for delays of the emulator's own threads
   */
  SoakRun(Fleet fleet, long seed, long emulatorDelayMillis) {
    this.fleet = fleet;
    checker = new InvariantChecker(emulatorDelayMillis);
    random = new SplittableRandom(seed);
  }

  /** Injects the schedule's faults for a time and checks all requests. */
  SoakResult run(FaultSchedule schedule, int nodeCount, int upstreamCount, Duration duration)
      throws IOException, InterruptedException {
    stalls.start();
    SoakUpstreams upstreams = new SoakUpstreams(fleet, checker, upstreamCount);
    fleet.startNodes(nodeCount);
    for (Fleet.Node node : fleet.nodes()) {
      trafficByNodeName.put(node.name(), new NodeTraffic(node, fleet.requests(), random.split()));
    }
    NodeRestarter restarter = new NodeRestarter(fleet, trafficByNodeName, timers, nodeFaults);
    FaultInjector injector = new FaultInjector(fleet, upstreams, restarter, checker, timers);
    long endNanos = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() - endNanos < 0) {
      ScheduledFault fault = schedule.next();
      injector.inject(fault);
      Thread.sleep(fault.delayToNextMillis());
    }
    for (NodeTraffic traffic : trafficByNodeName.values()) {
      traffic.stop();
    }
    return result();
  }

  private SoakResult result() throws IOException {
    Map<String, Integer> requestsByOutcome = new TreeMap<>();
    List<Violation> violations = new ArrayList<>();
    List<Violation> inconclusive = new ArrayList<>();
    for (RequestRecord request : fleet.requests().requests()) {
      requestsByOutcome.merge(outcome(request), 1, Integer::sum);
      long stalledNanos = stalls.stalledNanos(request.sentAtNanos(), lastObservationNanos(request));
      boolean conclusive = stalledNanos <= MAX_STALL_NANOS;
      (conclusive ? violations : inconclusive).addAll(checker.check(request));
    }
    for (Fleet.Node node : fleet.nodes()) {
      addReportedViolations(node);
    }
    return new SoakResult(
        requestsByOutcome,
        violations,
        inconclusive,
        List.copyOf(nodeFaults),
        fleet.requests().unknownAttempts());
  }

  private static String outcome(RequestRecord request) {
    return request.outcome() + (request.status() > 0 ? " " + request.status() : "");
  }

  private static long lastObservationNanos(RequestRecord request) {
    return request.attempts().stream()
        .mapToLong(Attempt::receivedAtNanos)
        .reduce(request.endedAtNanos(), Math::max);
  }

  private void addReportedViolations(Fleet.Node node) throws IOException {
    node.process()
        .log()
        .lines()
        .filter(line -> line.startsWith(VIOLATION_LOG_PREFIX))
        .forEach(line -> nodeFaults.add(new NodeFault(node.name(), line)));
  }

  @Override
  public void close() throws IOException {
    timers.close();
    fleet.close();
  }
}
