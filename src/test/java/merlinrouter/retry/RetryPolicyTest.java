package merlinrouter.retry;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.KEY_EVERYWHERE;
import static merlinrouter.settings.TestSettings.KEY_IN_CELL;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.RequestLimits;
import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when a request may be attempted again, and when a retry by its client is harmless. */
class RetryPolicyTest {
  private static final int MAX_ATTEMPTS = 3;
  private static final RequestLimits LIMITS =
      new RequestLimits(MAX_ATTEMPTS, 1000, false, false, 0, false, 30 * PER_MILLI);
  private static final long START_NANOS = 100 * PER_SECOND;
  private static final double MEAN_SERVICE_SECONDS = 0.1;

  private final EventClock clock = new EventClock(START_NANOS);
  private final RetryBudget budget = new RetryBudget();
  private final RetryPolicy policy = new RetryPolicy(LIMITS, budget, clock, 10 * PER_MILLI);
  private final ExecutionHistory history = new ExecutionHistory();
  private long objectiveAtNanos = START_NANOS + PER_SECOND;

  private boolean mayRetry(int classIndex, int attempts, Outcome lastOutcome) {
    return policy.mayRetry(
        new RetryCandidate(
            requestClass(classIndex),
            history,
            attempts,
            objectiveAtNanos,
            MEAN_SERVICE_SECONDS,
            lastOutcome));
  }

  private static RequestClass requestClass(int index) {
    return TestSettings.requestClasses().get(index);
  }

  private void recordPossibleExecution() {
    history.recordPossibleExecution(
        START_NANOS, new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, 0));
  }

  @ParameterizedTest
  @CsvSource({
    IDEMPOTENT + ", true",
    KEY_IN_CELL + ", true",
    NON_IDEMPOTENT + ", false",
    KEY_EVERYWHERE + ", true"
  })
  void aPossibleExecutionForbidsTheRetryOfANonIdempotentRequest(int classIndex, boolean allowed) {
    assertTrue(mayRetry(classIndex, 1, Outcome.REJECTED));
    recordPossibleExecution();
    assertEquals(allowed, mayRetry(classIndex, 1, Outcome.ERROR));
  }

  @Test
  void aRetryMustReachItsEndpointWithinTheDeduplicationWindow() {
    recordPossibleExecution();
    // The window of 700 ms must include the connect timeout of 30 ms and the host's delay of 10 ms.
    clock.advanceTo(START_NANOS + 659 * PER_MILLI);
    assertTrue(mayRetry(KEY_IN_CELL, 1, Outcome.ERROR));
    clock.advanceTo(START_NANOS + 660 * PER_MILLI);
    assertFalse(mayRetry(KEY_IN_CELL, 1, Outcome.ERROR));
    assertTrue(mayRetry(IDEMPOTENT, 1, Outcome.ERROR));
  }

  @Test
  void theNumberOfAttemptsIsLimited() {
    assertTrue(mayRetry(IDEMPOTENT, MAX_ATTEMPTS - 1, Outcome.REJECTED));
    assertFalse(mayRetry(IDEMPOTENT, MAX_ATTEMPTS, Outcome.REJECTED));
  }

  @Test
  void aSpentBudgetPermitsOnlyRetriesOfAttemptsThatWereNotExecuted() {
    while (budget.permits(Outcome.ERROR)) {
      budget.retryStarted(Outcome.ERROR);
    }
    assertFalse(mayRetry(IDEMPOTENT, 1, Outcome.ERROR));
    assertTrue(mayRetry(IDEMPOTENT, 1, Outcome.REJECTED));
  }

  @Test
  void aRetryNeedsHalfAServiceTimeBeforeTheObjective() {
    objectiveAtNanos = START_NANOS + 51 * PER_MILLI;
    assertTrue(mayRetry(IDEMPOTENT, 1, Outcome.REJECTED));
    objectiveAtNanos = START_NANOS + 49 * PER_MILLI;
    assertFalse(mayRetry(IDEMPOTENT, 1, Outcome.REJECTED));
  }

  @ParameterizedTest
  @CsvSource({
    IDEMPOTENT + ", true",
    KEY_IN_CELL + ", false",
    NON_IDEMPOTENT + ", false",
    KEY_EVERYWHERE + ", true"
  })
  void aClientRetryIsHarmlessOnlyIfItIsHarmlessAtEveryEndpoint(int classIndex, boolean harmless) {
    assertTrue(RetryPolicy.isClientRetryHarmless(requestClass(classIndex), history));
    recordPossibleExecution();
    assertEquals(harmless, RetryPolicy.isClientRetryHarmless(requestClass(classIndex), history));
  }
}
