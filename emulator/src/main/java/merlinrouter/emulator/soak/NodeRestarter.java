package merlinrouter.emulator.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.fleet.NodeProcess;
import merlinrouter.emulator.fleet.NodeProcess.Signal;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.peer.BackgroundThreads;

/** Restarts nodes gracefully or by a kill, and records the faults of their processes. */
final class NodeRestarter {
  /** Limit on the time from a start to readiness, and from a kill to the end of the process. */
  private static final Duration PROCESS_TIMEOUT = Duration.ofSeconds(10);

  /** A restarted node gets no SIGHUP before it is ready, nor for this long afterwards. */
  private static final long RELOAD_DELAY_MILLIS = 1_000;

  /** How long the load balancer still opens connections after the SIGTERM of a plain restart. */
  private static final long LOAD_BALANCER_DELAY_MILLIS = 300;

  private final Fleet fleet;
  private final InvariantChecker checker;
  private final Map<String, NodeTraffic> trafficByNodeName;
  private final SoakSettings settings;
  private final Timers timers;
  private final List<NodeFault> nodeFaults;
  private final Set<String> restartingNodeNames = ConcurrentHashMap.newKeySet();

  /** Restarted nodes that have not been ready for {@link #RELOAD_DELAY_MILLIS} yet. */
  private final Set<String> startingNodeNames = ConcurrentHashMap.newKeySet();

  /**
   * Creates a restarter.
   *
   * @param checker is notified of kills
   * @param settings provides the delay between SIGTERM and the kill of a process that still runs
   * @param nodeFaults the list to which faults are added, by any thread
   */
  NodeRestarter(
      Fleet fleet,
      InvariantChecker checker,
      Map<String, NodeTraffic> trafficByNodeName,
      SoakSettings settings,
      Timers timers,
      List<NodeFault> nodeFaults) {
    this.fleet = fleet;
    this.checker = checker;
    this.trafficByNodeName = trafficByNodeName;
    this.settings = settings;
    this.timers = timers;
    this.nodeFaults = nodeFaults;
  }

  /** Starts a planned restart, unless a restart of this node is in progress. */
  boolean restart(Fleet.Node node) throws IOException, InterruptedException {
    return restart(node, SignalSeries.termination(), LOAD_BALANCER_DELAY_MILLIS);
  }

  /**
   * Starts a planned restart, unless a restart of this node is in progress.
   *
   * @param signals a series that contains a SIGTERM
   * @param loadBalancerDelayMillis how long new connections are still opened
   * @return whether the restart was started
   */
  boolean restart(Fleet.Node node, SignalSeries signals, long loadBalancerDelayMillis)
      throws IOException, InterruptedException {
    if (!restartingNodeNames.add(node.name())) {
      return false;
    }
    NodeTraffic traffic = trafficByNodeName.get(node.name());
    // A paused process would not handle the SIGTERM.
    node.process().signal(Signal.CONT);
    boolean starting = startingNodeNames.contains(node.name());
    SignalSeries allowedSignals = starting ? signals.withoutReloads() : signals;
    long terminatedAtNanos = System.nanoTime();
    timers.schedule(loadBalancerDelayMillis, () -> traffic.setNewConnectionsAllowed(false));
    BackgroundThreads.start(
        "restart of " + node.name(),
        () -> {
          allowedSignals.send(node.process());
          awaitShutdown(
              node.name(), node.process(), terminatedAtNanos + settings.killDelay().toNanos());
          startAgain(node);
        });
    return true;
  }

  /**
   * Kills a node and starts it again in the background, unless a restart of this node is in
   * progress.
   *
   * @return whether it was killed
   */
  boolean kill(Fleet.Node node) {
    if (!restartingNodeNames.add(node.name())) {
      return false;
    }
    NodeTraffic traffic = trafficByNodeName.get(node.name());
    traffic.setNewConnectionsAllowed(false);
    long killedAtNanos = System.nanoTime();
    node.process().close();
    BackgroundThreads.start(
        "restart of " + node.name(),
        () -> {
          node.process().awaitExit(PROCESS_TIMEOUT);
          checker.nodeKilled(node.name(), killedAtNanos, System.nanoTime());
          startAgain(node);
        });
    return true;
  }

  private void awaitShutdown(String nodeName, NodeProcess process, long killAtNanos)
      throws InterruptedException {
    Duration remaining = Duration.ofNanos(Math.max(0, killAtNanos - System.nanoTime()));
    if (!process.awaitExit(remaining)) {
      if (!settings.hard()) {
        long millis = settings.killDelay().toMillis();
        nodeFaults.add(new NodeFault(nodeName, "is still running " + millis + " ms after SIGTERM"));
      }
      process.close();
      process.awaitExit(PROCESS_TIMEOUT);
    } else if (process.exitStatus() != 0) {
      nodeFaults.add(new NodeFault(nodeName, "exited with status " + process.exitStatus()));
    }
  }

  /** Reloads a node's configuration by SIGHUP, unless it is starting. */
  void reload(Fleet.Node node) throws IOException, InterruptedException {
    if (!startingNodeNames.contains(node.name())) {
      node.process().signal(Signal.HUP);
    }
  }

  private void startAgain(Fleet.Node node) throws InterruptedException {
    startingNodeNames.add(node.name());
    try {
      fleet.startAgain(node);
      if (!node.process().awaitReady(PROCESS_TIMEOUT)) {
        nodeFaults.add(new NodeFault(node.name(), describeFailedStart(node.process())));
      }
    } catch (IOException e) {
      nodeFaults.add(new NodeFault(node.name(), "could not be started: " + e.getMessage()));
    }
    timers.schedule(RELOAD_DELAY_MILLIS, () -> startingNodeNames.remove(node.name()));
    trafficByNodeName.get(node.name()).setNewConnectionsAllowed(true);
    restartingNodeNames.remove(node.name());
  }

  private static String describeFailedStart(NodeProcess process) {
    return process.isAlive()
        ? "is not ready " + PROCESS_TIMEOUT.toSeconds() + " s after its start"
        : "exited with status " + process.exitStatus() + " during its start";
  }
}
