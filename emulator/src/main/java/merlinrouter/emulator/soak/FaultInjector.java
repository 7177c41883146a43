package merlinrouter.emulator.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import merlinrouter.emulator.fleet.Errno;
import merlinrouter.emulator.fleet.FaultShim.Fault;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.fleet.NodeProcess.Signal;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.peer.DiscoveryOutage;
import merlinrouter.emulator.peer.FaultProxy.Condition;
import merlinrouter.emulator.peer.ListDelivery;
import merlinrouter.emulator.peer.UpstreamServer.Behavior;

/**
 * Injects scheduled faults and ends them after their durations. Used by one thread, except for
 * methods that say otherwise.
 */
final class FaultInjector {
  private static final List<Errno> SOCKET_ERRORS =
      List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS);
  private static final List<Errno> CONNECT_ERRORS =
      List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH, Errno.ETIMEDOUT);

  private static final int MIN_CALL_INTERVAL = 2;
  private static final int CALL_INTERVALS = 8;
  private static final int MAX_SHORT_CALL_BYTES = 50;
  private static final int MAX_CLOCK_STEP_SECONDS = 3_600;
  private static final int MAX_LIST_PIECE_BYTES = 200;
  private static final long MILLIS_PER_LIST_BYTE = 2;
  private static final int MIN_PAUSE_MILLIS = 100;
  private static final int PAUSE_RANGE_MILLIS = 50;

  private final Fleet fleet;
  private final SoakUpstreams upstreams;
  private final NodeRestarter restarter;
  private final InvariantChecker checker;
  private final Timers timers;
  private final FaultLog log;

  /** Start of the current outage of discovery, or 0 without an outage. */
  private long discoveryOutageStartNanos;

  FaultInjector(
      Fleet fleet,
      SoakUpstreams upstreams,
      NodeRestarter restarter,
      InvariantChecker checker,
      Timers timers,
      FaultLog log) {
    this.fleet = fleet;
    this.upstreams = upstreams;
    this.restarter = restarter;
    this.checker = checker;
    this.timers = timers;
    this.log = log;
  }

  /** Starts a fault and schedules its end if the kind has a duration. */
  void inject(ScheduledFault fault) throws IOException, InterruptedException {
    Fleet.Node node = fleet.nodes().get(fault.selector() % fleet.nodes().size());
    SoakUpstreams.Upstream upstream = upstreams.pick(fault.selector());
    log.recordStart(fault.kind(), describe(node, upstream, fault));
    switch (fault.kind()) {
      case ACCEPT_FAILS -> failCalls(node, Fault.ACCEPT, selectError(SOCKET_ERRORS, fault), fault);
      case SOCKET_FAILS -> failCalls(node, Fault.SOCKET, selectError(SOCKET_ERRORS, fault), fault);
      case CONNECT_FAILS ->
          failCalls(node, Fault.CONNECT, selectError(CONNECT_ERRORS, fault), fault);
      case READS_INTERRUPTED -> {
        failCalls(node, Fault.READ, Errno.EINTR, fault);
        failCalls(node, Fault.EPOLL_WAIT, Errno.EINTR, fault);
      }
      case SHORT_CALLS -> {
        shortenCalls(node, Fault.SHORT_READ, fault);
        shortenCalls(node, Fault.SHORT_WRITE, fault);
      }
      case CLOCK_STEPS -> stepWallClock(node, fault);
      case NODE_HELD -> pause(node, fault);
      case NODE_RELOADED -> restarter.reload(node);
      case NODE_RESTARTED -> restarter.restart(node);
      case SERVER_HANGS -> setBehavior(upstream, Behavior.HANG, fault);
      case SERVER_ERRS -> setBehavior(upstream, Behavior.ERROR, fault);
      case SERVER_TURNS_AWAY -> setBehavior(upstream, Behavior.REJECT, fault);
      case SERVER_RESETS -> setBehavior(upstream, Behavior.RESET, fault);
      case SERVER_CUTS_SHORT -> setBehavior(upstream, Behavior.TRUNCATE_RESPONSE, fault);
      case SERVER_GIVES_NO_LENGTH -> {
        boolean orderlyClose = fault.selector() % 2 == 0;
        Behavior behavior =
            orderlyClose
                ? Behavior.RESPOND_WITHOUT_LENGTH
                : Behavior.RESET_AFTER_BODY_WITHOUT_LENGTH;
        setBehavior(upstream, behavior, fault);
      }
      case SERVER_DROPS_CONNECTIONS -> upstream.server().resetConnections();
      case SERVER_REPLACED -> upstreams.replace(upstream);
      case MOST_SERVERS_REPLACED -> upstreams.replaceMost();
      case LINK_SILENT -> setCondition(upstream, Condition.BLACKHOLE, fault);
      case LINK_IN_PIECES -> setCondition(upstream, Condition.FRAGMENTED, fault);
      case LINK_SLOW -> setCondition(upstream, Condition.DELAYED, fault);
      case DISCOVERY_SILENT -> interruptDiscovery(fault.durationMillis());
      case WATCHES_RESET -> fleet.discovery().resetConnections();
      case LISTS_IN_PIECES -> setListDelivery(listInPieces(fault), fault);
      case LISTS_CUT_SHORT -> setListDelivery(listCutShort(fault), fault);
      case COUNTER_SILENT -> {
        fleet.counter().setUnresponsive(true);
        timers.schedule(fault.durationMillis(), () -> fleet.counter().setUnresponsive(false));
      }
      case COUNTER_RESET -> fleet.counter().resetConnections();
      default -> throw new IllegalStateException("unknown fault " + fault.kind());
    }
  }

  private static long callInterval(ScheduledFault fault) {
    return MIN_CALL_INTERVAL + fault.selector() % CALL_INTERVALS;
  }

  private static Errno selectError(List<Errno> errors, ScheduledFault fault) {
    // The remainder of this division selects the interval, so each error occurs with each interval.
    return errors.get(fault.selector() / CALL_INTERVALS % errors.size());
  }

  private void failCalls(Fleet.Node node, Fault call, Errno error, ScheduledFault fault) {
    node.shim().failEvery(call, callInterval(fault), error);
    timers.schedule(fault.durationMillis(), () -> node.shim().stopPeriodic(call));
  }

  private void shortenCalls(Fleet.Node node, Fault call, ScheduledFault fault) {
    int maxBytes = 1 + fault.selector() % MAX_SHORT_CALL_BYTES;
    node.shim().shortenEvery(call, callInterval(fault), maxBytes);
    timers.schedule(fault.durationMillis(), () -> node.shim().stopPeriodic(call));
  }

  private static void stepWallClock(Fleet.Node node, ScheduledFault fault) {
    int offsetSeconds = fault.selector() % (2 * MAX_CLOCK_STEP_SECONDS) - MAX_CLOCK_STEP_SECONDS;
    node.shim().setWallClockOffset(Duration.ofSeconds(offsetSeconds));
  }

  private void pause(Fleet.Node node, ScheduledFault fault)
      throws IOException, InterruptedException {
    node.process().signal(Signal.STOP);
    int pauseMillis = MIN_PAUSE_MILLIS + fault.selector() % PAUSE_RANGE_MILLIS;
    timers.schedule(pauseMillis, () -> node.process().signal(Signal.CONT));
  }

  private void setBehavior(
      SoakUpstreams.Upstream upstream, Behavior behavior, ScheduledFault fault) {
    upstream.behavior().set(behavior);
    timers.schedule(
        fault.durationMillis(),
        () -> upstream.behavior().compareAndSet(behavior, Behavior.RESPOND));
  }

  private void setCondition(
      SoakUpstreams.Upstream upstream, Condition condition, ScheduledFault fault) {
    var proxy = fleet.proxy(upstream.server());
    proxy.setCondition(condition);
    timers.schedule(fault.durationMillis(), () -> proxy.setCondition(Condition.NORMAL));
  }

  private static ListDelivery listInPieces(ScheduledFault fault) {
    int pieceBytes = 1 + fault.selector() % MAX_LIST_PIECE_BYTES;
    return ListDelivery.inPieces(pieceBytes, MILLIS_PER_LIST_BYTE * pieceBytes);
  }

  private static ListDelivery listCutShort(ScheduledFault fault) {
    return ListDelivery.cutShort(fault.selector() % 2 == 0);
  }

  private void setListDelivery(ListDelivery delivery, ScheduledFault fault) {
    fleet.discovery().setListDelivery(delivery);
    timers.schedule(fault.durationMillis(), () -> fleet.discovery().resetListDelivery(delivery));
  }

  private static String describe(
      Fleet.Node node, SoakUpstreams.Upstream upstream, ScheduledFault fault) {
    return String.format(
        "(node %s, server %s, selector %d, %d ms)",
        node.name(), upstream.server().id(), fault.selector(), fault.durationMillis());
  }

  /** Makes discovery unresponsive for a time, unless it already is. Called by any thread. */
  synchronized void interruptDiscovery(long durationMillis) {
    if (discoveryOutageStartNanos != 0) {
      return;
    }
    discoveryOutageStartNanos = System.nanoTime();
    fleet.discovery().setUnresponsive(true);
    timers.schedule(
        durationMillis,
        () -> {
          fleet.discovery().setUnresponsive(false);
          discoveryRecovered();
        });
  }

  /** Starts an outage of discovery, after the current one if there is one. Called by any thread. */
  synchronized void awaitAndStartOutage(DiscoveryOutage form)
      throws IOException, InterruptedException {
    while (discoveryOutageStartNanos != 0) {
      wait();
    }
    discoveryOutageStartNanos = System.nanoTime();
    fleet.discovery().startOutage(form);
  }

  /** Ends an outage that was started by {@link #awaitAndStartOutage}. Called by any thread. */
  void endOutage() throws IOException {
    fleet.discovery().endOutage();
    discoveryRecovered();
  }

  private synchronized void discoveryRecovered() {
    checker.discoveryRecovered(discoveryOutageStartNanos, System.nanoTime());
    discoveryOutageStartNanos = 0;
    notifyAll();
  }
}
