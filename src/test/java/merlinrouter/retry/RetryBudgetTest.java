package merlinrouter.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** Tests how many retries the budget permits. */
class RetryBudgetTest {
  private final RetryBudget budget = new RetryBudget();

  private void startRetries(int count) {
    for (int i = 0; i < count; i++) {
      assertTrue(budget.permits(Outcome.ERROR), "retry " + i);
      budget.retryStarted(Outcome.ERROR);
    }
  }

  @Test
  void fiveFirstAttemptsEarnOneRetry() {
    startRetries(20);
    for (int i = 0; i < 5; i++) {
      assertFalse(budget.permits(Outcome.ERROR));
      budget.firstAttemptStarted();
    }
    startRetries(1);
    assertFalse(budget.permits(Outcome.ERROR));
  }

  @Test
  void atMostTwentyRetriesAreSaved() {
    for (int i = 0; i < 1000; i++) {
      budget.firstAttemptStarted();
    }
    startRetries(20);
    assertFalse(budget.permits(Outcome.ERROR));
  }

  @Test
  void aRetryOfAnAttemptThatWasNotExecutedIsFree() {
    startRetries(20);
    assertTrue(budget.permits(Outcome.REJECTED));
    budget.retryStarted(Outcome.REJECTED);
    assertTrue(budget.permits(Outcome.REJECTED));
  }
}
