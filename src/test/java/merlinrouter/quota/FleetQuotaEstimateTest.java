package merlinrouter.quota;

import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests the estimate of a customer's quota and its correction by totals of the counter. */
class FleetQuotaEstimateTest {
  private static final double TOLERANCE = 1e-9;
  private static final double ALL_REPORTED = 1;

  private final EventClock clock = new EventClock(6 * PER_SECOND);

  /** A quota of 30 units that refills in 3 s, the length of a window. */
  private final FleetQuotaEstimate estimate =
      new FleetQuotaEstimate(TestSettings.quota(10, 30), 3, 4, 0, clock);

  private void useAndReport(double units) {
    estimate.take(units);
    estimate.recordOwnReported(units);
  }

  @Test
  void theQuotaRefillsUpToTheBurst() {
    estimate.take(20);
    estimate.refill(1);
    assertEquals(20, estimate.availableUnits(), TOLERANCE);
    estimate.refill(100);
    assertEquals(30, estimate.availableUnits(), TOLERANCE);
  }

  @Test
  void aTotalSubtractsTheUseOfOthersOnce() {
    estimate.advanceToCurrentWindow();
    useAndReport(2);
    estimate.applyTotal(2, 12, 0, ALL_REPORTED);
    assertEquals(18, estimate.availableUnits(), TOLERANCE);
    useAndReport(2);
    estimate.applyTotal(2, 14, 0, ALL_REPORTED);
    assertEquals(16, estimate.availableUnits(), TOLERANCE);
  }

  @Test
  void othersAreAssumedToReportTheSameFraction() {
    estimate.advanceToCurrentWindow();
    estimate.applyTotal(0, 6, 0, 0.5);
    assertEquals(30 - 6 / 0.5, estimate.availableUnits(), TOLERANCE);
  }

  @Test
  void lossOfCountsRestoresNoUnits() {
    estimate.advanceToCurrentWindow();
    useAndReport(2);
    estimate.applyTotal(2, 12, 0, ALL_REPORTED);
    useAndReport(3);
    estimate.applyTotal(3, 3, 0, ALL_REPORTED);
    assertEquals(15, estimate.availableUnits(), TOLERANCE);
  }

  @Test
  void useOfOthersIsProjectedBetweenTotals() {
    estimate.advanceToCurrentWindow();
    estimate.applyTotal(0, 0, 0, ALL_REPORTED);
    clock.advanceTo(7 * PER_SECOND);
    estimate.applyTotal(0, 8, 0, ALL_REPORTED);
    double projected = estimate.expectedOthersUnits(PER_SECOND);
    assertTrue(
        projected > 0 && projected <= 8,
        "projected use is " + projected + " units, above 0 and at most 8 expected");
    estimate.refill(1);
    assertEquals(30 - 8 + 10 - projected, estimate.availableUnits(), TOLERANCE);
  }

  @Test
  void aQuotaWithoutARecentTotalIsDivided() {
    estimate.divideIfStale();
    assertTrue(estimate.isDivided());
    assertEquals(10, estimate.availableUnits(), TOLERANCE);
    estimate.divideIfStale();
    assertEquals(10, estimate.availableUnits(), TOLERANCE);
    estimate.applyTotal(0, 0, 0, ALL_REPORTED);
    assertFalse(estimate.isDivided());
  }

  @Test
  void theShareOfADividedQuotaIsAtLeastTheLargestRequest() {
    estimate.take(24);
    estimate.divideIfStale();
    assertEquals(4, estimate.availableUnits(), TOLERANCE);
  }

  @Test
  void aTotalIsNeededAgainAfterAQuarterOfAWindow() {
    assertTrue(estimate.needsTotal());
    estimate.applyTotal(0, 0, 0, ALL_REPORTED);
    clock.advanceTo(6 * PER_SECOND + estimate.windowNanos() / 4);
    assertFalse(estimate.needsTotal());
    clock.advanceTo(clock.nowNanos() + 1);
    assertTrue(estimate.needsTotal());
  }
}
