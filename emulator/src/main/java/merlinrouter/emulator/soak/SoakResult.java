package merlinrouter.emulator.soak;

import java.util.List;
import java.util.Map;
import merlinrouter.emulator.invariant.Violation;

/**
 * What a soak test found.
 *
 * @param requestsByOutcome how many requests ended with each outcome and status
 * @param violations invariants that the nodes violated
 * @param inconclusive violations that the measured lateness of the emulator may account for
 * @param inconclusiveRequests how many requests have such a violation
 * @param nodeFaults processes that behaved wrongly
 * @param unknownAttempts how many attempts carried an id that no client sent
 * @param faultsByKind how many faults of each kind were injected
 * @param faultLines the faults with their times, as in the run's {@code faults.log}
 * @param margins the clients' time left at the responses
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
    ResponseMargins margins) {

  /** Above this part of the requests a run says nothing. */
  private static final double MAX_INCONCLUSIVE_FRACTION = 0.01;

  /** What a run says of the nodes. */
  enum Verdict {
    PASSED,
    FAILED,
    /** Nothing speaks against the nodes, but the emulator was late too often to tell. */
    NONE
  }

  /** What the run says of the nodes. */
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
