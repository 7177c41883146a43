package merlinrouter.emulator;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.FaultShim.Call;
import merlinrouter.emulator.MatchServer.Behavior;
import merlinrouter.emulator.MatchServer.Treatment;

/** Overlapping random faults over real node processes, judged by the invariants. */
final class Soak implements AutoCloseable {
  /**
   * What a soak found.
   *
   * @param ends how many requests ended in each way
   * @param violations rules that the nodes broke
   * @param unproven breaks that the emulator's own stalls may account for; they are told and not
   *     counted
   * @param nodeFaults processes that ended wrongly or found an invariant violated
   */
  record Result(
      Map<String, Integer> ends,
      List<Invariants.Violation> violations,
      List<Invariants.Violation> unproven,
      List<String> nodeFaults) {
    boolean passed() {
      return violations.isEmpty() && nodeFaults.isEmpty();
    }
  }

  private static final List<Errno> SOCKET_ERRORS =
      List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS);
  private static final List<Errno> CONNECT_ERRORS =
      List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH, Errno.ETIMEDOUT);
  private static final Duration READY_WITHIN = Duration.ofSeconds(10);

  /** The longest deadline and some more: a node that was told to end has ended by then. */
  private static final Duration ENDED_WITHIN = Duration.ofMillis(3_700);

  /** How long the front goes on sending new connections after a SIGTERM. */
  private static final long FRONT_DELAY_MILLIS = 300;

  private static final long USUAL_ANSWER_MILLIS = 15;

  /** A stall of the emulator by more than this may be what a request's broken rule shows. */
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private final Fleet fleet;
  private final Invariants invariants;
  private final StallMonitor stalls = new StallMonitor();
  private final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(
          4,
          work -> {
            Thread thread = new Thread(work, "soak timers");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, Behavior> behaviors = new ConcurrentHashMap<>();
  private final Map<String, NodeTraffic> traffic = new LinkedHashMap<>();
  private final List<String> nodeFaults = java.util.Collections.synchronizedList(new ArrayList<>());
  private final List<MatchServer> listed = new ArrayList<>();
  private final SplittableRandom random;
  private volatile long discoveryDownSince;

  Soak(Fleet fleet, long seed, long ownDelayMillis) {
    this.fleet = fleet;
    invariants = new Invariants(ownDelayMillis);
    random = new SplittableRandom(seed);
  }

  /** Plays the plan for {@code length} on so many nodes and servers. */
  Result play(SoakPlan plan, int nodes, int servers, Duration length)
      throws IOException, InterruptedException {
    stalls.start();
    for (int i = 0; i < servers; i++) {
      addServer(0);
    }
    fleet.startNodes(nodes);
    for (Fleet.Node node : fleet.nodes()) {
      traffic.put(node.name(), new NodeTraffic(node, fleet.ledger(), random.split()));
    }
    long end = System.nanoTime() + length.toNanos();
    while (System.nanoTime() - end < 0) {
      SoakPlan.Fault fault = plan.next();
      begin(fault);
      Thread.sleep(fault.pauseMillis());
    }
    for (NodeTraffic each : traffic.values()) {
      each.stop();
    }
    return result();
  }

  private Result result() throws IOException {
    Map<String, Integer> ends = new LinkedHashMap<>();
    List<Invariants.Violation> violations = new ArrayList<>();
    List<Invariants.Violation> unproven = new ArrayList<>();
    for (RequestRecord request : fleet.ledger().requests()) {
      ends.merge(request.end + (request.status > 0 ? " " + request.status : ""), 1, Integer::sum);
      boolean stalled = stalls.stalledBetween(request.sentAt, lastNoted(request)) > STALL_NANOS;
      (stalled ? unproven : violations).addAll(invariants.judge(request));
    }
    for (Fleet.Node node : fleet.nodes()) {
      node.process()
          .logText()
          .lines()
          .filter(line -> line.startsWith("invariant violated"))
          .forEach(line -> nodeFaults.add(node.name() + ": " + line));
    }
    if (fleet.ledger().unknownAttempts() > 0) {
      nodeFaults.add(fleet.ledger().unknownAttempts() + " attempts with an id that no client sent");
    }
    return new Result(ends, violations, unproven, List.copyOf(nodeFaults));
  }

  private static long lastNoted(RequestRecord request) {
    long last = request.endedAt;
    for (RequestRecord.Attempt attempt : request.attempts()) {
      last = Math.max(last, attempt.arrivedAt);
    }
    return last;
  }

  private MatchServer addServer(long startedAtMillis) throws IOException {
    MatchServer[] made = new MatchServer[1];
    made[0] =
        fleet.addServer(
            id ->
                new Treatment(
                    behaviors.getOrDefault(made[0].id(), Behavior.ANSWER), USUAL_ANSWER_MILLIS),
            startedAtMillis);
    listed.add(made[0]);
    return made[0];
  }

  private void begin(SoakPlan.Fault fault) throws IOException, InterruptedException {
    Fleet.Node node = fleet.nodes().get(fault.pick() % fleet.nodes().size());
    MatchServer server = listed.get(fault.pick() % listed.size());
    long every = 2 + fault.pick() % 8;
    switch (fault.kind()) {
      case ACCEPT_FAILS -> failFor(node, Call.ACCEPT, every, error(SOCKET_ERRORS, fault), fault);
      case SOCKET_FAILS -> failFor(node, Call.SOCKET, every, error(SOCKET_ERRORS, fault), fault);
      case CONNECT_FAILS -> failFor(node, Call.CONNECT, every, error(CONNECT_ERRORS, fault), fault);
      case READS_INTERRUPTED -> {
        failFor(node, Call.READ, every, Errno.EINTR.number(), fault);
        failFor(node, Call.EPOLL_WAIT, every, Errno.EINTR.number(), fault);
      }
      case SHORT_CALLS -> {
        failFor(node, Call.SHORT_READ, every, 1 + fault.pick() % 50, fault);
        failFor(node, Call.SHORT_WRITE, every, 1 + fault.pick() % 50, fault);
      }
      case CLOCK_STEPS ->
          node.shim().setWallClockOffset(Duration.ofSeconds(fault.pick() % 7_200 - 3_600));
      case NODE_HELD -> {
        node.process().signal("STOP");
        later(100 + fault.pick() % 50, () -> node.process().signal("CONT"));
      }
      case NODE_RELOADED -> node.process().signal("HUP");
      case NODE_RESTARTED -> restart(node);
      case SERVER_HANGS -> behaveFor(server, Behavior.HANG, fault);
      case SERVER_ERRS -> behaveFor(server, Behavior.ERROR, fault);
      case SERVER_TURNS_AWAY -> behaveFor(server, Behavior.TURN_AWAY, fault);
      case SERVER_RESETS -> behaveFor(server, Behavior.RESET, fault);
      case SERVER_CUTS_SHORT -> behaveFor(server, Behavior.CUT_SHORT, fault);
      case SERVER_GIVES_NO_LENGTH ->
          behaveFor(
              server,
              fault.pick() % 2 == 0
                  ? Behavior.ANSWER_WITHOUT_LENGTH
                  : Behavior.RESET_WITHOUT_LENGTH,
              fault);
      case SERVER_DROPS_CONNECTIONS -> server.resetAll();
      case LINK_SILENT -> linkFor(server, FaultProxy.Link.SILENT, fault);
      case LINK_IN_PIECES -> linkFor(server, FaultProxy.Link.IN_PIECES, fault);
      case LINK_SLOW -> linkFor(server, FaultProxy.Link.SLOW, fault);
      case SERVER_REPLACED -> replace(server);
      case DISCOVERY_SILENT -> silenceDiscovery(fault.lengthMillis());
      case WATCHES_RESET -> fleet.discovery().resetAll();
      case COUNTER_SILENT -> {
        fleet.counter().setSilent(true);
        later(fault.lengthMillis(), () -> fleet.counter().setSilent(false));
      }
      case COUNTER_RESET -> fleet.counter().resetAll();
      default -> throw new IllegalStateException("no such fault: " + fault.kind());
    }
  }

  private static long error(List<Errno> errors, SoakPlan.Fault fault) {
    return errors.get(fault.pick() / 8 % errors.size()).number();
  }

  private void failFor(
      Fleet.Node node, Call call, long every, long parameter, SoakPlan.Fault fault) {
    node.shim().failEvery(call, every, parameter);
    later(fault.lengthMillis(), () -> node.shim().failEvery(call, 0, 0));
  }

  private void behaveFor(MatchServer server, Behavior behavior, SoakPlan.Fault fault) {
    behaviors.put(server.id(), behavior);
    later(fault.lengthMillis(), () -> behaviors.remove(server.id(), behavior));
  }

  private void linkFor(MatchServer server, FaultProxy.Link link, SoakPlan.Fault fault) {
    fleet.proxy(server).setLink(link);
    later(fault.lengthMillis(), () -> fleet.proxy(server).setLink(FaultProxy.Link.CLEAR));
  }

  private void replace(MatchServer old) throws IOException {
    if (listed.size() > 1) {
      listed.remove(old);
      invariants.draining(old.id(), System.nanoTime());
      fleet.discovery().publish(fleet.member(old, DiscoveryService.Phase.TERMINATING, 0));
      addServer(System.currentTimeMillis());
    }
  }

  private void silenceDiscovery(long millis) {
    if (discoveryDownSince != 0) {
      return;
    }
    discoveryDownSince = System.nanoTime();
    fleet.discovery().setSilent(true);
    later(
        millis,
        () -> {
          fleet.discovery().setSilent(false);
          invariants.discoveryBack(System.nanoTime(), discoveryDownSince);
          discoveryDownSince = 0;
        });
  }

  /** A planned restart; nothing while one is under way. */
  private void restart(Fleet.Node node) throws IOException, InterruptedException {
    if (!restarting.add(node.name())) {
      return;
    }
    node.process().signal("CONT");
    node.process().signal("TERM");
    later(FRONT_DELAY_MILLIS, () -> traffic.get(node.name()).setAdmitted(false));
    Threads.daemon(
        "restart of " + node.name(),
        () -> {
          if (!node.process().awaitExit(ENDED_WITHIN)) {
            nodeFaults.add(
                node.name() + " has not ended " + ENDED_WITHIN.toMillis() + " ms after SIGTERM");
            node.process().close();
            node.process().awaitExit(ENDED_WITHIN);
          } else if (node.process().exitValue() != 0) {
            nodeFaults.add(node.name() + " ended with status " + node.process().exitValue());
          }
          node.process().start();
          if (!node.process().awaitReady(READY_WITHIN)) {
            nodeFaults.add(
                node.name() + " is not ready " + READY_WITHIN.toSeconds() + " s after its start");
          }
          traffic.get(node.name()).setAdmitted(true);
          restarting.remove(node.name());
        });
  }

  private final java.util.Set<String> restarting = ConcurrentHashMap.newKeySet();

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private void later(long millis, Step step) {
    timers.schedule(
        () -> {
          step.run();
          return null;
        },
        millis,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws IOException {
    timers.shutdownNow();
    fleet.close();
  }
}
