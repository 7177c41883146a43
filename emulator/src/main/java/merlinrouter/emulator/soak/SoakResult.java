package merlinrouter.emulator.soak;

import java.util.List;
import java.util.Map;
import merlinrouter.emulator.invariant.Violation;

/**
 * What a soak test found.
 *
 * @param requestsByOutcome how many requests ended with each outcome and status
 * @param violations invariants that the nodes violated
 * @param inconclusive violations that stalls of the emulator may account for; they are reported but
 *     do not fail the test
 * @param nodeFaults processes that behaved wrongly
 * @param unknownAttempts how many attempts carried an id that no client sent
 * @param faultsByKind how many faults of each kind were injected
 * @param faultLines the faults with their times, as in the run's {@code faults.log}
 */
record SoakResult(
    Map<String, Integer> requestsByOutcome,
    List<Violation> violations,
    List<Violation> inconclusive,
    List<NodeFault> nodeFaults,
    long unknownAttempts,
    Map<String, Integer> faultsByKind,
    List<String> faultLines) {

  /** Whether nothing speaks against the nodes. */
  boolean passed() {
    return violations.isEmpty() && nodeFaults.isEmpty() && unknownAttempts == 0;
  }
}
