package merlinrouter.emulator.soak;

import java.util.List;
import java.util.Map;
import merlinrouter.emulator.invariant.DrainDelay;
import merlinrouter.emulator.invariant.Violation;

/**
 * The result of a soak test.
 *
 * @param requestsByOutcome the number of requests by outcome and status
 * @param violations invariants that the nodes violated
 * @param inconclusive violations that the measured lateness of the emulator may account for
 * @param inconclusiveRequests the number of requests with an inconclusive violation
 * @param nodeFaults the failures of node processes
 * @param unknownAttempts the number of attempts that carried an id that no client sent
 * @param faultsByKind the number of injected faults by kind
 * @param faultLines the faults with their times, as in the run's {@code faults.log}
 * @param drainDelay how late drains took effect
 * @param margins the times from responses to their clients' deadlines
 */
record SoakResult(
    Map<String, Integer> requestsByOutcome,
    List<Violation> violations,
    List<Violation> inconclusive,
    int inconclusiveRequests,
    List<NodeFault> nodeFaults,
    long unknownAttempts,
    Map<String, Integer> faultsByKind,
    List<String> faultLines,
    DrainDelay drainDelay,
    ResponseMargins margins) {

  /** A run with a greater fraction of inconclusive requests has no verdict. */
  private static final double MAX_INCONCLUSIVE_FRACTION = 0.01;

  /** The verdict of a run on the nodes. */
  enum Verdict {
    PASSED,
    FAILED,
    /** No fault of the nodes was found, but the emulator was late too often for a verdict. */
    NONE
  }

  /** Returns the verdict of the run. */
  Verdict verdict() {
    if (!violations.isEmpty() || !nodeFaults.isEmpty() || unknownAttempts != 0) {
      return Verdict.FAILED;
    }
    long requests = requestsByOutcome.values().stream().mapToLong(Integer::longValue).sum();
    return inconclusiveRequests > MAX_INCONCLUSIVE_FRACTION * requests
        ? Verdict.NONE
        : Verdict.PASSED;
  }
}
