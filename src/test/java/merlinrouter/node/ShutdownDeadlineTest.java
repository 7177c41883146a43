package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Idempotency;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.Nanos;
import org.junit.jupiter.api.Test;

/** Deadlines before and during a graceful shutdown. */
class ShutdownDeadlineTest {
  private static final long STARTED_AT_NANOS = 100 * Nanos.PER_SECOND;
  private static final long FAR_NANOS = 200 * Nanos.PER_SECOND;

  private static RequestClass classWithDeadline(long deadlineMillis) {
    return new RequestClass(
        Nanos.PER_SECOND,
        deadlineMillis * Nanos.PER_MILLI,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.values()[0],
        0,
        0,
        1);
  }

  private static long limitMillis(ShutdownDeadline deadline) {
    return (deadline.limit(FAR_NANOS) - STARTED_AT_NANOS) / Nanos.PER_MILLI;
  }

  @Test
  void thereIsNoLimitBeforeTheShutdown() {
    ShutdownDeadline deadline = new ShutdownDeadline(List.of(classWithDeadline(1_000)));
    assertEquals(FAR_NANOS, deadline.limit(FAR_NANOS));
  }

  @Test
  void theLimitPrecedesTheEarliestKillByTheLongestDeadline() {
    ShutdownDeadline deadline =
        new ShutdownDeadline(List.of(classWithDeadline(1_000), classWithDeadline(2_000)));
    deadline.shutdownStarted(STARTED_AT_NANOS);
    assertEquals(2_550, limitMillis(deadline));
    assertEquals(STARTED_AT_NANOS, deadline.limit(STARTED_AT_NANOS), "an earlier deadline stays");
  }

  @Test
  void aLongestDeadlineOver3SecondsCountsAs3Seconds() {
    ShutdownDeadline deadline = new ShutdownDeadline(List.of(classWithDeadline(30_000)));
    deadline.shutdownStarted(STARTED_AT_NANOS);
    assertEquals(3_550, limitMillis(deadline));
  }

  @Test
  void aSecondSignalDoesNotMoveTheLimit() {
    ShutdownDeadline deadline = new ShutdownDeadline(List.of(classWithDeadline(2_000)));
    deadline.shutdownStarted(STARTED_AT_NANOS);
    deadline.shutdownStarted(STARTED_AT_NANOS + Nanos.PER_SECOND);
    assertEquals(2_550, limitMillis(deadline));
  }
}
