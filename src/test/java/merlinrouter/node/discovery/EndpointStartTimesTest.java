package merlinrouter.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.node.logging.NodeLog;
import org.junit.jupiter.api.Test;

/** Starts on the monotonic clock; all figures are seconds times {@link #S}. */
class EndpointStartTimesTest {
  private static final long S = 1_000_000_000L;
  private static final long SLOW_START = 10 * S;

  private final EndpointStartTimes times = new EndpointStartTimes(SLOW_START, NodeLog.silent());

  private long told(long monotonic, long wall, long startedAtWall) {
    times.observeClocks(monotonic * S, wall * S);
    return times.toMonotonicNanos("s", startedAtWall * S, monotonic * S) / S;
  }

  @Test
  void aStartKeepsItsMomentWhateverTheWallClockDoes() {
    assertEquals(95, told(100, 5_000, 4_995));
    assertEquals(95, told(101, 1_401, 4_995));
    assertEquals(95, told(200, 1_500, 4_995));
  }

  @Test
  void aStartThatAStepAgedCountsByItsYoungerAge() {
    times.observeClocks(100 * S, 5_000 * S);
    assertEquals(103, told(104, 8_604, 5_003));
  }

  @Test
  void aStartInTheFutureBehindAStepBackIsNow() {
    times.observeClocks(100 * S, 5_000 * S);
    assertEquals(104, told(104, 1_404, 5_003));
  }

  @Test
  void aStepIsForgottenOnceASlowStartIsOver() {
    times.observeClocks(10_000 * S, 5_000 * S);
    times.observeClocks(10_001 * S, 8_601 * S);
    assertEquals(10_018, told(10_020, 8_620, 8_618));
    times.forget("s");
    assertEquals(6_501, told(10_121, 8_721, 5_101));
  }
}
