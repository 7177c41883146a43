package merlinrouter.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.Outcome;
import merlinrouter.settings.TestSettings;
import merlinrouter.stats.AttemptSample;
import merlinrouter.stats.ClassStatistics;
import org.junit.jupiter.api.Test;

/** Tests the shares of the classes: initially, under random load, and without responses. */
class ShareControllerTest {
  private final List<ClassStatistics> classes =
      TestSettings.requestClasses().stream().map(ClassStatistics::new).toList();
  private final ShareController controller = new ShareController(classes);
  private final SplittableRandom random = new SplittableRandom(2);

  private void runIntervals(int count) {
    for (int i = 0; i < count; i++) {
      for (ClassStatistics statistics : classes) {
        runRequests(statistics, random.nextInt(1, 50));
      }
      controller.update();
      classes.forEach(ClassStatistics::startInterval);
    }
  }

  private void runRequests(ClassStatistics statistics, int count) {
    for (int i = 0; i < count; i++) {
      double latencySeconds = random.nextDouble(0.05, 2);
      statistics.recordArrival();
      statistics.recordAttempt(
          new AttemptSample(Outcome.OK, latencySeconds, 1, 1, latencySeconds, 0));
    }
  }

  @Test
  void sharesAreInProportionToPriorityWeightsUntilTheModelIsUsed() {
    double[] byWeight = {1.0 / 12, 4.0 / 12, 3.0 / 12, 4.0 / 12};
    assertArrayEquals(byWeight, controller.shares(), 1e-9);
    runIntervals(12);
    assertArrayEquals(byWeight, controller.shares(), 1e-9);
  }

  @Test
  void sharesSumToOneAndGiveEachClassAMinimumUnderRandomLoad() {
    for (int i = 0; i < 50; i++) {
      runIntervals(2);
      double[] shares = controller.shares();
      assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
      // Shares are clipped to [MIN_SHARE, 1] and then scaled to sum 1. Before scaling, the sum of
      // the four shares is at most 4, so the smallest may fall to nearly MIN_SHARE / 4.
      assertTrue(Arrays.stream(shares).min().orElse(0) > ShareController.MIN_SHARE / 4);
    }
  }

  @Test
  void intervalsWithoutAnyResponseKeepTheSharesFinite() {
    runIntervals(20);
    for (int i = 0; i < 20; i++) {
      controller.update();
    }
    assertEquals(1, Arrays.stream(controller.shares()).sum(), 1e-9);
  }
}
