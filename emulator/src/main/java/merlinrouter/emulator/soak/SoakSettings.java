package merlinrouter.emulator.soak;

import java.time.Duration;
import java.util.List;
import merlinrouter.emulator.fleet.NodeTemplate;

/**
 * What a soak test plays.
 *
 * @param nodeCount number of node processes
 * @param upstreamCount number of upstream servers
 * @param duration how long faults are injected
 * @param emulatorDelayMillis allowance for delays of the emulator's own threads
 * @param kinds the kinds of fault that are injected
 * @param clientTimeouts draws how long clients wait
 * @param hard whether the faults of whole processes are injected too, and nodes are killed as soon
 *     as they may be: it is no fault of a node to run until then, but to owe a response is
 */
record SoakSettings(
    int nodeCount,
    int upstreamCount,
    Duration duration,
    long emulatorDelayMillis,
    List<FaultKind> kinds,
    ClientTimeouts clientTimeouts,
    boolean hard) {
  /** A node is killed after the longest deadline and this, at the earliest. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(700);

  /** The longest deadline counts as this where it is longer. */
  private static final Duration MAX_LONGEST_DEADLINE = Duration.ofSeconds(3);

  /** In one of so many runs, by seed, idle clients take the descriptors of nodes. */
  private static final int CROWD_INTERVAL = 3;

  /** How long after SIGTERM a process that has not ended is killed. */
  Duration killDelay() {
    Duration configured = NodeTemplate.longestDeadline();
    boolean isShorter = configured.compareTo(MAX_LONGEST_DEADLINE) < 0;
    return (hard && isShorter ? configured : MAX_LONGEST_DEADLINE).plus(KILL_MARGIN);
  }

  /** The kinds of faults of whole processes that a seed plays. */
  List<ProcessFaultKind> processFaultKinds(long seed) {
    if (!hard) {
      return List.of();
    }
    return List.of(ProcessFaultKind.values()).stream()
        .filter(kind -> kind != ProcessFaultKind.CROWDED || seed % CROWD_INTERVAL == 0)
        .toList();
  }
}
