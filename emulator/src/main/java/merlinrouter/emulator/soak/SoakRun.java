package merlinrouter.emulator.soak;

import java.io.IOException;
import java.nio.file.Path;
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

/** One soak test: overlapping random faults in real node processes under steady traffic. */
final class SoakRun implements AutoCloseable {
  /** Start of the log line by which a node reports that it would have violated an invariant. */
  private static final String VIOLATION_LOG_PREFIX = "invariant violated";

  /** Makes the process faults of a seed independent of its clients' random choices. */
  private static final long PROCESS_FAULT_SEED_OFFSET = 0x5eed_0000_0000L;

  /** Makes the series of outages of a seed independent of all else. */
  private static final long OUTAGE_SEED_OFFSET = 0x0a7a_0000_0000L;

  private final Fleet fleet;
  private final long seed;
  private final SoakSettings settings;
  private final InvariantChecker checker;
  private final FaultLog faultLog;
  private final LatenessMonitor lateness = new LatenessMonitor();
  private final Timers timers = new Timers();
  private final Map<String, NodeTraffic> trafficByNodeName = new LinkedHashMap<>();
  private final List<NodeFault> nodeFaults = Collections.synchronizedList(new ArrayList<>());

  /**
   * Prepares a run.
   *
   * @param root the checkout with the built program
   * @param folder the folder for configuration and log files; created if it does not exist
   * @param seed determines the faults and the clients' random choices
   */
  SoakRun(Path root, Path folder, long seed, SoakSettings settings) throws IOException {
    fleet = new Fleet(root, folder);
    faultLog = new FaultLog(folder);
    checker = new InvariantChecker(settings.emulatorDelayMillis());
    this.seed = seed;
    this.settings = settings;
  }

  /** Injects faults for the configured duration and checks all requests. */
  SoakResult run() throws IOException, InterruptedException {
    SoakUpstreams upstreams = new SoakUpstreams(fleet, checker, lateness, settings.upstreamCount());
    try {
      fleet.startNodes(settings.nodeCount());
    } catch (IOException e) {
      nodeFaults.add(new NodeFault("fleet", e.getMessage()));
      return result();
    }
    startTraffic();
    injectFaults(upstreams);
    for (NodeTraffic traffic : trafficByNodeName.values()) {
      traffic.stop();
    }
    return result();
  }

  private void startTraffic() {
    SplittableRandom random = new SplittableRandom(seed);
    for (Fleet.Node node : fleet.nodes()) {
      lateness.monitor(node.name());
      trafficByNodeName.put(
          node.name(),
          new NodeTraffic(node, fleet.requests(), settings.clientTimeouts(), random.split()));
    }
  }

  private void injectFaults(SoakUpstreams upstreams) throws IOException, InterruptedException {
    NodeRestarter restarter =
        new NodeRestarter(fleet, checker, trafficByNodeName, settings, timers, nodeFaults);
    FaultInjector injector =
        new FaultInjector(fleet, upstreams, restarter, checker, timers, faultLog);
    List<ProcessFaultKind> processFaultKinds = settings.processFaultKinds(seed);
    ProcessFaultInjector processFaults =
        new ProcessFaultInjector(
            fleet,
            checker,
            injector,
            restarter,
            faultLog,
            new SplittableRandom(seed + PROCESS_FAULT_SEED_OFFSET),
            processFaultKinds);
    if (!processFaultKinds.isEmpty()) {
      processFaults.start();
    }
    DiscoveryOutageInjector outages =
        new DiscoveryOutageInjector(
            fleet,
            injector,
            upstreams,
            restarter,
            faultLog,
            new SplittableRandom(seed + OUTAGE_SEED_OFFSET),
            settings.maxOutage());
    if (settings.hasOutageSeries()) {
      outages.start();
    }
    FaultSchedule schedule = new FaultSchedule(seed, settings.kinds());
    long endNanos = System.nanoTime() + settings.duration().toNanos();
    while (System.nanoTime() - endNanos < 0) {
      ScheduledFault fault = schedule.next();
      injector.inject(fault);
      Thread.sleep(fault.delayToNextMillis());
    }
    processFaults.stop();
    outages.stop();
  }

  private SoakResult result() throws IOException {
    Map<String, Integer> requestsByOutcome = new TreeMap<>();
    List<Violation> violations = new ArrayList<>();
    List<Violation> inconclusive = new ArrayList<>();
    int inconclusiveRequests = 0;
    for (RequestRecord request : fleet.requests().requests()) {
      requestsByOutcome.merge(outcome(request), 1, Integer::sum);
      boolean requestInconclusive = false;
      for (Violation violation : checker.check(request)) {
        boolean explained =
            lateness.mayExplain(violation, request.sentAtNanos(), lastObservationNanos(request));
        (explained ? inconclusive : violations).add(addTimes(violation, request));
        requestInconclusive |= explained;
      }
      inconclusiveRequests += requestInconclusive ? 1 : 0;
    }
    for (Fleet.Node node : fleet.nodes()) {
      addReportedViolations(node);
    }
    return new SoakResult(
        requestsByOutcome,
        violations,
        inconclusive,
        inconclusiveRequests,
        List.copyOf(nodeFaults),
        fleet.requests().unknownAttempts(),
        faultLog.countsByKind(),
        faultLog.lines(),
        checker.drainDelay(fleet.requests().requests()),
        ResponseMargins.of(fleet.requests().requests(), lateness, faultLog::millisSinceStart));
  }

  private Violation addTimes(Violation violation, RequestRecord request) {
    long sentMillis = faultLog.millisSinceStart(request.sentAtNanos());
    if (!violation.isTimed()) {
      return violation.withEvidencePrefix("sent at " + sentMillis + " ms, ");
    }
    long lateNanos =
        lateness.latenessNanos(violation, request.sentAtNanos(), lastObservationNanos(request));
    return violation.withEvidencePrefix(
        String.format(
            "sent at %d ms, %d ms over the limit as measured by %s, which was up to %d ms late, ",
            sentMillis,
            TimeUnit.NANOSECONDS.toMillis(violation.excessNanos()),
            violation.observer(),
            TimeUnit.NANOSECONDS.toMillis(lateNanos)));
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
