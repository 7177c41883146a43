package merlinrouter.retry;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.KEY_IN_CELL;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests when it is too late for a first attempt, and the timeout of an attempt. */
class DeadlinePolicyTest {
  private static final long NOW_NANOS = 100 * PER_SECOND;

  private final DeadlinePolicy policy =
      new DeadlinePolicy(
          TestSettings.gateway(UNLIMITED, 1), new EventClock(NOW_NANOS), 10 * PER_MILLI);

  @Test
  void aFirstAttemptNeedsOneAndAHalfTimesItsServiceTime() {
    assertFalse(policy.cannotMeetObjective(NOW_NANOS + 151 * PER_MILLI, 0.1));
    assertTrue(policy.cannotMeetObjective(NOW_NANOS + 149 * PER_MILLI, 0.1));
  }

  @Test
  void everyRequestNeedsTwoTimerIntervalsAndAnEventInterval() {
    assertFalse(policy.cannotMeetObjective(NOW_NANOS + 22 * PER_MILLI, 0));
    assertTrue(policy.cannotMeetObjective(NOW_NANOS + 21 * PER_MILLI, 0));
  }

  @Test
  void anAttemptTimesOutWhenItsResponseHasNoValueLeft() {
    long objectiveAtNanos = NOW_NANOS + PER_SECOND;
    long deadlineNanos = NOW_NANOS + 2 * PER_SECOND;
    assertEquals(PER_SECOND, timeoutNanos(IDEMPOTENT, objectiveAtNanos, deadlineNanos));
    assertEquals(2 * PER_SECOND, timeoutNanos(KEY_IN_CELL, objectiveAtNanos, deadlineNanos));
    assertEquals(PER_MILLI, timeoutNanos(IDEMPOTENT, NOW_NANOS, NOW_NANOS));
  }

  private long timeoutNanos(int classIndex, long objectiveAtNanos, long deadlineNanos) {
    return policy.attemptTimeoutNanos(
        TestSettings.requestClasses().get(classIndex), objectiveAtNanos, deadlineNanos);
  }
}
