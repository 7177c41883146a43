package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.invariant.Violation;
import merlinrouter.emulator.request.Attempt;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import merlinrouter.emulator.request.RequestRegistry;
import org.junit.jupiter.api.Test;

/** The emulator's own lateness must account for its effects, but not hide a fault of a node. */
class LatenessMonitorTest {
  private static final String SERVER = "s-5";
  private static final long TIMEOUT_MILLIS = 1_000;

  /**
   * The attempt is received 700 ms after the request was sent, with a forwarded timeout of 1,000
   * ms: 300 ms remain and 150 ms are allowed in addition, so it exceeds the limit by 550 ms.
   */
  private static final long RECEIVED_AFTER_MILLIS = 700;

  private static final long EXCESS_MILLIS = 550;

  private final RequestRegistry requests = new RequestRegistry();
  private final LatenessMonitor lateness = new LatenessMonitor();
  private final RequestRecord request =
      requests.register("n0", RequestClass.IDEMPOTENT, TIMEOUT_MILLIS);

  private Violation excessiveTimeout() {
    request.markSent();
    requests.addAttempt(
        request.id(), new Attempt(SERVER, atMillis(RECEIVED_AFTER_MILLIS), TIMEOUT_MILLIS, false));
    return onlyViolation();
  }

  private Violation onlyViolation() {
    List<Violation> violations = new InvariantChecker(0).check(request);
    assertEquals(1, violations.size(), violations.toString());
    return violations.get(0);
  }

  private long atMillis(long afterSentMillis) {
    return request.sentAtNanos() + TimeUnit.MILLISECONDS.toNanos(afterSentMillis);
  }

  private void addLateSpan(String observer, long fromMillis, long toMillis) {
    lateness.lateSpans(observer).add(atMillis(fromMillis), atMillis(toMillis));
  }

  private boolean mayExplain(Violation violation) {
    return lateness.mayExplain(violation, atMillis(0), atMillis(RECEIVED_AFTER_MILLIS));
  }

  @Test
  void latenessOfOtherObserversExplainsNothing() {
    Violation violation = excessiveTimeout();
    assertFalse(mayExplain(violation));
    addLateSpan("s-4", 0, RECEIVED_AFTER_MILLIS);
    addLateSpan("n0", 0, RECEIVED_AFTER_MILLIS);
    assertFalse(mayExplain(violation), "lateness of other observers counted");
  }

  @Test
  void latenessOfTheServerMayExplainAnAttemptReceivedTooLate() {
    Violation violation = excessiveTimeout();
    addLateSpan(SERVER, 100, 100 + EXCESS_MILLIS);
    assertTrue(mayExplain(violation));
  }

  @Test
  void latenessShorterThanTheExcessExplainsNothing() {
    Violation violation = excessiveTimeout();
    addLateSpan(SERVER, 100, 100 + EXCESS_MILLIS - 1);
    addLateSpan(SERVER, 100 + EXCESS_MILLIS, RECEIVED_AFTER_MILLIS);
    assertFalse(mayExplain(violation), "separate late spans were added up");
  }

  @Test
  void latenessBeforeOrAfterTheRequestExplainsNothing() {
    Violation violation = excessiveTimeout();
    addLateSpan(SERVER, -1_000, 0);
    addLateSpan(SERVER, RECEIVED_AFTER_MILLIS, 5_000);
    assertFalse(mayExplain(violation));
  }

  @Test
  void latenessDoesNotExplainAMissingResponse() {
    request.markSent();
    request.end(ClientOutcome.NO_RESPONSE);
    Violation violation = onlyViolation();
    addLateSpan("n0", 0, 60_000);
    assertFalse(mayExplain(violation));
  }
}
