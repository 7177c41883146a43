package merlinrouter.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.node.logging.NodeLog;
import org.junit.jupiter.api.Test;

/** Conversion of start times to the monotonic clock; {@link #convert} works in seconds. */
class EndpointStartTimesTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long SLOW_START_NANOS = 10 * SECOND_NANOS;

  private final EndpointStartTimes times =
      new EndpointStartTimes(SLOW_START_NANOS, NodeLog.silent());

  private long convert(long monotonic, long wall, long wallStart) {
    times.observeClocks(monotonic * SECOND_NANOS, wall * SECOND_NANOS);
    return times.toMonotonicNanos("s", wallStart * SECOND_NANOS, monotonic * SECOND_NANOS)
        / SECOND_NANOS;
  }

  @Test
  void aConvertedStartTimeIgnoresStepsOfTheWallClock() {
    assertEquals(95, convert(100, 5_000, 4_995));
    assertEquals(95, convert(101, 1_401, 4_995));
    assertEquals(95, convert(200, 1_500, 4_995));
  }

  @Test
  void aStartBeforeAStepForwardCountsByItsYoungerAge() {
    times.observeClocks(100 * SECOND_NANOS, 5_000 * SECOND_NANOS);
    assertEquals(103, convert(104, 8_604, 5_003));
  }

  @Test
  void aStartTimeInTheFutureAfterAStepBackIsConvertedToNow() {
    times.observeClocks(100 * SECOND_NANOS, 5_000 * SECOND_NANOS);
    assertEquals(104, convert(104, 1_404, 5_003));
  }

  @Test
  void aStepIsIgnoredAfterTheDurationOfASlowStart() {
    times.observeClocks(10_000 * SECOND_NANOS, 5_000 * SECOND_NANOS);
    times.observeClocks(10_001 * SECOND_NANOS, 8_601 * SECOND_NANOS);
    assertEquals(10_018, convert(10_020, 8_620, 8_618));
    times.forget("s");
    assertEquals(6_501, convert(10_121, 8_721, 5_101));
  }
}
