package merlinrouter.time;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when intervals end, also after a stall. */
class FixedIntervalsTest {
  private final FixedIntervals intervals = new FixedIntervals(1_000, 100);

  @Test
  void anIntervalEndsOnceAndTheNextOneFollowsIt() {
    assertFalse(intervals.hasEnded(1_099));
    assertTrue(intervals.hasEnded(1_130));
    assertFalse(intervals.hasEnded(1_199));
    assertTrue(intervals.hasEnded(1_200));
  }

  /**
   * After a stall, controllers would otherwise fit their models to a series of intervals of a
   * single timer each, with hardly any samples.
   */
  @Test
  void intervalsThatAStallHasMissedAreNotMadeUpFor() {
    assertTrue(intervals.hasEnded(1_570));
    assertFalse(intervals.hasEnded(1_580));
    assertTrue(intervals.hasEnded(1_600));
  }
}
