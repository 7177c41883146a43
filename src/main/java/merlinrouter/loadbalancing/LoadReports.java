package merlinrouter.loadbalancing;

import java.util.List;
import merlinrouter.settings.SettingKeys;

/** Loads that endpoints report in answer to health checks. */
final class LoadReports {
  /** Weight of a report in the mean load. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Time constant with which a report loses its meaning. */
  private static final double DECAY_SECONDS = 1;

  private final List<String> valueNames;
  private double meanLoad;

  LoadReports(List<String> valueNames) {
    this.valueNames = valueNames;
  }

  /** Whether endpoints report their load at all. */
  boolean areEnabled() {
    return !valueNames.isEmpty();
  }

  /** Handles a report; an empty one stands for an endpoint that reports nothing or is silent. */
  void record(EndpointTracker tracker, List<Double> report) {
    double load = report.isEmpty() ? assumedLoad() : 0;
    for (int i = 0; i < Math.min(report.size(), valueNames.size()); i++) {
      load += SettingKeys.LOAD_VALUES.contains(valueNames.get(i)) ? report.get(i) : 0;
    }
    meanLoad += SAMPLE_WEIGHT * (load - meanLoad);
    tracker.loadReported(load);
  }

  /** An endpoint without a report is not idle: it is assumed to be busier than the mean. */
  private double assumedLoad() {
    return 1 + 2 * meanLoad;
  }

  /**
   * Factor on an endpoint's latency for its load: 1 for the mean load or without a recent report.
   */
  double latencyFactor(EndpointTracker tracker) {
    double weight = Math.exp(-tracker.loadReportAgeSeconds() / DECAY_SECONDS);
    return 1 + (tracker.reportedLoad() - meanLoad) / (1 + meanLoad) * weight;
  }
}
