package merlinrouter.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import merlinrouter.model.Outcome;
import merlinrouter.settings.TestSettings;
import merlinrouter.stats.AttemptSample;
import merlinrouter.stats.ClassStatistics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the concurrency level and its limit. */
class ConcurrencyControllerTest {
  /** Service time of twice the latency objective. */
  private static final double SLOW_SECONDS = 2;

  private final ClassStatistics statistics =
      new ClassStatistics(TestSettings.requestClasses().get(TestSettings.IDEMPOTENT));

  private ConcurrencyController controller(int gatewayCount) {
    return new ConcurrencyController(List.of(statistics), gatewayCount);
  }

  private void recordAttempts(int count, double serviceSeconds) {
    for (int i = 0; i < count; i++) {
      statistics.recordAttempt(
          new AttemptSample(Outcome.OK, serviceSeconds, 1, 1, serviceSeconds, 0));
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 4, 24", "14, 60, 26", "240, 20, 0.5", "100, 0, 0.25"})
  void theLimitIsSixAttemptsPerEndpointDividedAmongTheGateways(
      int gatewayCount, int endpoints, double expectedLevel) {
    ConcurrencyController controller = controller(gatewayCount);
    controller.endpointCountChanged(endpoints);
    assertEquals(expectedLevel, controller.level());
  }

  @Test
  void slowResponsesLowerTheLevelOfASaturatedGateway() {
    ConcurrencyController controller = controller(1);
    controller.endpointCountChanged(4);
    recordAttempts(30, SLOW_SECONDS);
    controller.markSaturated();
    controller.update();
    assertTrue(controller.level() < 24, "level " + controller.level());
    assertEquals(0, statistics.serviceSampleCount());
  }

  @Test
  void tooFewSamplesDoNotChangeTheLevel() {
    ConcurrencyController controller = controller(1);
    controller.endpointCountChanged(4);
    recordAttempts(29, SLOW_SECONDS);
    controller.markSaturated();
    controller.update();
    assertEquals(24, controller.level());
    assertEquals(29, statistics.serviceSampleCount());
  }

  @Test
  void theLevelOfAnUnsaturatedGatewayReturnsToTheLimit() {
    ConcurrencyController controller = controller(1);
    controller.endpointCountChanged(4);
    recordAttempts(30, SLOW_SECONDS);
    controller.markSaturated();
    controller.update();
    for (int i = 0; i < 10; i++) {
      recordAttempts(30, SLOW_SECONDS);
      controller.update();
    }
    assertEquals(24, controller.level(), 1);
  }
}
