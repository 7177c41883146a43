package merlinrouter.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the reported fraction of the admitted units. */
class PlanUsageTest {
  private final PlanUsage usage = new PlanUsage(4);

  @Test
  void theFractionFallsWithAdmittedUnitsAndRisesWithReportedOnes() {
    assertEquals(1, usage.reportedFraction());
    usage.recordAdmitted(8);
    assertEquals(0.5, usage.reportedFraction());
    usage.recordReported(8);
    assertEquals(1, usage.reportedFraction());
  }

  @Test
  void unitsThatAreGivenBackDoNotCountAsUnreported() {
    for (int i = 0; i < 100; i++) {
      usage.recordAdmitted(4);
      usage.recordAdmitted(-4);
    }
    assertEquals(1, usage.reportedFraction(), 1e-9);
  }

  @Test
  void earlierUseDecays() {
    usage.recordAdmitted(1000);
    for (int i = 0; i < 2000; i++) {
      usage.recordAdmitted(1);
      usage.recordReported(1);
    }
    assertEquals(1, usage.reportedFraction(), 0.05);
  }
}
