package merlinrouter.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.model.Outcome;
import merlinrouter.settings.TestSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests how attempts of different outcomes change the statistics of their class. */
class ClassStatisticsTest {
  private static final double OBJECTIVE_SECONDS = 1;

  private final ClassStatistics statistics =
      new ClassStatistics(TestSettings.requestClasses().get(TestSettings.IDEMPOTENT));

  private void recordAttempt(Outcome outcome, double serviceSeconds) {
    statistics.recordAttempt(new AttemptSample(outcome, serviceSeconds, 1, 1, 0.3, 0.1));
  }

  @Test
  void aFastFailureCountsAsASlowResponse() {
    recordAttempt(Outcome.ERROR, 0.001);
    assertEquals(1, statistics.serviceSampleCount());
    assertEquals(2 * OBJECTIVE_SECONDS, statistics.serviceQuantileSeconds(0));
    assertEquals(0, statistics.successes());
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "CANCELLED", "NOT_SENT"})
  void outcomesUnrelatedToLoadAddNoSample(Outcome outcome) {
    recordAttempt(outcome, 0.001);
    assertEquals(0, statistics.serviceSampleCount());
  }

  @Test
  void theExpectedServiceTimeIsProportionalToTheUnitsWithinBounds() {
    double mean = OBJECTIVE_SECONDS / 8;
    assertEquals(2 * mean, statistics.expectedServiceSeconds(2), 1e-9);
    assertEquals(3 * mean, statistics.expectedServiceSeconds(100), 1e-9);
    assertEquals(0.3 * mean, statistics.expectedServiceSeconds(0), 1e-9);
  }

  @Test
  void aNewIntervalResetsTheSumsAndKeepsAveragesAndSamples() {
    statistics.recordArrival();
    recordAttempt(Outcome.OK, 0.2);
    double mean = statistics.meanServiceSeconds();
    statistics.startInterval();
    assertEquals(0, statistics.arrivals() + statistics.successes());
    assertEquals(0, statistics.latencySumSeconds() + statistics.queueingSumSeconds());
    assertEquals(mean, statistics.meanServiceSeconds());
    assertEquals(1, statistics.serviceSampleCount());
    assertEquals(0.2, statistics.serviceQuantileSeconds(0));
  }
}
