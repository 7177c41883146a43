package merlinrouter.quota;

import static merlinrouter.time.Nanos.PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests when the counter is considered silent. */
class CounterHealthTest {
  private final EventClock clock = new EventClock(0);
  private final CounterHealth health = new CounterHealth(clock);

  @Test
  void threeUnansweredCallsWithinHalfASecondDoNotMakeTheCounterSilent() {
    clock.advanceTo(500 * PER_MILLI);
    for (int i = 0; i < 3; i++) {
      assertFalse(health.recordCall(false));
    }
    assertFalse(health.isSilent());
  }

  @Test
  void theCounterIsSilentAfterThreeUnansweredCallsUntilItAnswers() {
    clock.advanceTo(600 * PER_MILLI);
    assertFalse(health.recordCall(false));
    assertFalse(health.recordCall(false));
    assertTrue(health.recordCall(false), "the third unanswered call makes the counter silent");
    assertFalse(health.recordCall(false), "the counter was already silent");
    assertTrue(health.isSilent());
    assertTrue(health.recordCall(true), "an answer ends the silence");
    assertFalse(health.isSilent());
  }
}
