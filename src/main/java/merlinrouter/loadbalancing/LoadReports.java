package merlinrouter.loadbalancing;

import java.util.List;
import merlinrouter.settings.SettingKeys;

/** The loads that endpoints report in their responses to health checks. */
final class LoadReports {
  /** Weight of a report in the mean load. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Time constant with which the effect of a report decays. */
  private static final double DECAY_SECONDS = 1;

  private final List<String> valueNames;
  private double meanLoad;

  LoadReports(List<String> valueNames) {
    this.valueNames = valueNames;
  }

  /** Returns whether endpoints report their load. */
  boolean areEnabled() {
    return !valueNames.isEmpty();
  }

  /**
   * Records a report; an empty one means that the endpoint reports no load or did not answer the
   * health check.
   */
  void record(EndpointTracker tracker, List<Double> report) {
    double load = report.isEmpty() ? assumedLoad() : 0;
    for (int i = 0; i < Math.min(report.size(), valueNames.size()); i++) {
      load += SettingKeys.LOAD_VALUES.contains(valueNames.get(i)) ? report.get(i) : 0;
    }
    meanLoad += SAMPLE_WEIGHT * (load - meanLoad);
    tracker.loadReported(load);
  }

  /**
   * Returns the load assumed for an endpoint without a report: above the mean, so that it is not
   * taken to be idle.
   */
  private double assumedLoad() {
    return 1 + 2 * meanLoad;
  }

  /**
   * Returns the factor on an endpoint's latency for its load: 1 for the mean load, and close to 1
   * without a recent report.
   */
  double latencyFactor(EndpointTracker tracker) {
    double weight = Math.exp(-tracker.loadReportAgeSeconds() / DECAY_SECONDS);
    return 1 + (tracker.reportedLoad() - meanLoad) / (1 + meanLoad) * weight;
  }
}
