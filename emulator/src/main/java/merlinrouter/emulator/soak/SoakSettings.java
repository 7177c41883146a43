package merlinrouter.emulator.soak;

import java.time.Duration;
import java.util.List;
import merlinrouter.emulator.fleet.NodeTemplate;

/**
 * The settings of a soak test.
 *
 * @param nodeCount number of node processes
 * @param upstreamCount number of upstream servers
 * @param duration how long faults are injected
 * @param emulatorDelayMillis allowance for delays of the emulator's own threads
 * @param kinds the kinds of fault that are injected
 * @param clientTimeouts draws the timeouts of clients' requests
 * @param hard whether faults of whole processes are injected too and a node that shuts down is
 *     killed at the earliest permitted time. A process that still runs then is not a node fault,
 *     but a request without a response violates an invariant.
 * @param maxOutage upper bound on the first outage of each series of outages of discovery; zero for
 *     no series
 */
record SoakSettings(
    int nodeCount,
    int upstreamCount,
    Duration duration,
    long emulatorDelayMillis,
    List<FaultKind> kinds,
    ClientTimeouts clientTimeouts,
    boolean hard,
    Duration maxOutage) {
  /** A node may be killed when the longest deadline and this time have passed since SIGTERM. */
  private static final Duration KILL_MARGIN = Duration.ofMillis(700);

  /** Longest deadline assumed for the kill, unless a hard run's configured one is shorter. */
  private static final Duration MAX_LONGEST_DEADLINE = Duration.ofSeconds(3);

  /** Idle clients use up descriptors of nodes only if the seed is divisible by this. */
  private static final int IDLE_CLIENTS_SEED_DIVISOR = 3;

  /** Returns how long after SIGTERM a process that still runs is killed. */
  Duration killDelay() {
    Duration configured = NodeTemplate.longestDeadline();
    boolean isShorter = configured.compareTo(MAX_LONGEST_DEADLINE) < 0;
    return (hard && isShorter ? configured : MAX_LONGEST_DEADLINE).plus(KILL_MARGIN);
  }

  /** Returns whether outages of discovery are injected in series. */
  boolean hasOutageSeries() {
    return !maxOutage.isZero();
  }

  /** Returns the kinds of fault of whole processes that are injected for a seed. */
  List<ProcessFaultKind> processFaultKinds(long seed) {
    if (!hard) {
      return List.of();
    }
    return List.of(ProcessFaultKind.values()).stream()
        .filter(kind -> kind != ProcessFaultKind.CROWDED || seed % IDLE_CLIENTS_SEED_DIVISOR == 0)
        .toList();
  }
}
