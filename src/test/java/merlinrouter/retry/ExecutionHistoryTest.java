package merlinrouter.retry;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.KEY_EVERYWHERE;
import static merlinrouter.settings.TestSettings.KEY_IN_CELL;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.TestSettings;
import org.junit.jupiter.api.Test;

/** Tests which attempt is recorded, and the deduplication scope that follows from it. */
class ExecutionHistoryTest {
  private final ExecutionHistory history = new ExecutionHistory();

  private static Endpoint endpoint(String id, int cell) {
    return new Endpoint(id, 1, 0, cell, 0, EndpointState.READY, 0);
  }

  private static RequestClass requestClass(int index) {
    return TestSettings.requestClasses().get(index);
  }

  @Test
  void onlyTheFirstPossibleExecutionIsRecorded() {
    assertFalse(history.isPossiblyExecuted());
    history.recordPossibleExecution(5, endpoint("a", 0));
    history.recordPossibleExecution(9, endpoint("b", 1));
    assertTrue(history.isPossiblyExecuted());
    assertEquals(5, history.firstExecutionNanos());
    assertTrue(history.isInScope(requestClass(KEY_IN_CELL), endpoint("c", 0)));
    assertFalse(history.isInScope(requestClass(KEY_IN_CELL), endpoint("d", 1)));
  }

  @Test
  void onlyARequestWhoseKeyIsLimitedToACellIsBoundToItsScope() {
    assertFalse(history.isBoundToScope(requestClass(KEY_IN_CELL)), "not executed yet");
    history.recordPossibleExecution(5, endpoint("a", 0));
    assertTrue(history.isBoundToScope(requestClass(KEY_IN_CELL)));
    assertFalse(history.isBoundToScope(requestClass(KEY_EVERYWHERE)));
    assertFalse(history.isBoundToScope(requestClass(IDEMPOTENT)));
    assertFalse(history.isBoundToScope(requestClass(NON_IDEMPOTENT)));
  }
}
