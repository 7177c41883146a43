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
import merlinrouter.emulator.peer.BackgroundThreads;

/** Restarts nodes as a planned restart does, and records what goes wrong. */
final class NodeRestarter {
  private static final Duration MAX_START = Duration.ofSeconds(10);

  /** A little more than the longest deadline: all requests in flight have ended by then. */
  private static final Duration MAX_SHUTDOWN = Duration.ofMillis(3_700);

  /** How long the load balancer still opens connections after a SIGTERM. */
  private static final long LOAD_BALANCER_DELAY_MILLIS = 300;

  private final Fleet fleet;
  private final Map<String, NodeTraffic> trafficByNodeName;
  private final Timers timers;
  private final List<NodeFault> nodeFaults;
  private final Set<String> restartingNodeNames = ConcurrentHashMap.newKeySet();

  /**
   * Creates a restarter.
   *
   * @param nodeFaults where faults are added, by any thread
   */
  NodeRestarter(
      Fleet fleet,
      Map<String, NodeTraffic> trafficByNodeName,
      Timers timers,
      List<NodeFault> nodeFaults) {
    this.fleet = fleet;
    this.trafficByNodeName = trafficByNodeName;
    this.timers = timers;
    this.nodeFaults = nodeFaults;
  }

  /** Begins a restart, unless one of this node is in progress. */
  void restart(Fleet.Node node) throws IOException, InterruptedException {
    if (!restartingNodeNames.add(node.name())) {
      return;
    }
    NodeTraffic traffic = trafficByNodeName.get(node.name());
    // A paused process would not see the SIGTERM.
    node.process().signal(Signal.CONT);
    node.process().signal(Signal.TERM);
    timers.schedule(LOAD_BALANCER_DELAY_MILLIS, () -> traffic.setNewConnectionsAllowed(false));
    BackgroundThreads.start(
        "restart of " + node.name(),
        () -> {
          awaitShutdown(node.name(), node.process());
          start(node);
          traffic.setNewConnectionsAllowed(true);
          restartingNodeNames.remove(node.name());
        });
  }

  private void awaitShutdown(String nodeName, NodeProcess process) throws InterruptedException {
    if (!process.awaitExit(MAX_SHUTDOWN)) {
      nodeFaults.add(
          new NodeFault(
              nodeName, "has not ended " + MAX_SHUTDOWN.toMillis() + " ms after SIGTERM"));
      process.close();
      process.awaitExit(MAX_SHUTDOWN);
    } else if (process.exitStatus() != 0) {
      nodeFaults.add(new NodeFault(nodeName, "ended with status " + process.exitStatus()));
    }
  }

  private void start(Fleet.Node node) throws IOException, InterruptedException {
    fleet.startAgain(node);
    if (!node.process().awaitReady(MAX_START)) {
      nodeFaults.add(
          new NodeFault(
              node.name(), "is not ready " + MAX_START.toSeconds() + " s after its start"));
    }
  }
}
