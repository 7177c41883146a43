package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit on the bytes held by requests. */
class MemoryBudgetTest {
  @Test
  void requestsShareOneBudgetWhoseLastQuarterIsForSmallOnes() {
    MemoryBudget budget = new MemoryBudget(16 << 20);
    assertTrue(budget.allows(64 * 1024));
    budget.change(800_000);
    assertFalse(budget.allows(64 * 1024));
    assertTrue(budget.allows(200));
    budget.change(300_000);
    assertFalse(budget.allows(200));
    budget.change(-1_100_000);
    assertEquals(0, budget.usedBytes());
  }

  /** Otherwise clients that pipeline could leave no room for the requests of others. */
  @Test
  void pipelinedBytesLeaveTheLastQuarterToOtherRequests() {
    MemoryBudget budget = new MemoryBudget(16 << 20);
    assertTrue(budget.allowsReadingAhead());
    budget.change(800_000);
    assertFalse(budget.allowsReadingAhead());
    assertTrue(budget.allows(200));
  }
}
