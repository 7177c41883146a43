package merlinrouter.loadbalancing;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean latency by machine type and mean error rate by zone. With few attempts on an endpoint, a
 * gateway relies on those on similar endpoints.
 */
final class GroupStatistics {
  /** Weight of an attempt in a mean, before division by the number of ready endpoints. */
  private static final double SAMPLE_WEIGHT = 2 * EndpointTracker.LATENCY_SAMPLE_WEIGHT;

  /** Latency assumed for a machine type without attempts, relative to the expected time. */
  private static final double INITIAL_RELATIVE_LATENCY = 1;

  private final Map<Integer, Double> relativeLatencyByMachineType = new HashMap<>();
  private final Map<Integer, Double> errorRateByZone = new HashMap<>();

  /**
   * Records an attempt.
   *
   * @param relativeLatency its duration relative to the expected service time
   * @param error 0 for a success, up to 1 for an error
   * @param endpointCount the number of ready endpoints
   */
  void recordAttempt(
      int machineType, int zone, double relativeLatency, double error, int endpointCount) {
    double weight = SAMPLE_WEIGHT / Math.max(1, endpointCount);
    relativeLatencyByMachineType.merge(
        machineType, relativeLatency, (mean, sample) -> mean + weight * (sample - mean));
    errorRateByZone.merge(
        zone, weight * error, (mean, weightedError) -> mean + weight * (error - mean));
  }

  /** Returns the mean latency of a machine type, relative to the expected service time. */
  double relativeLatency(int machineType) {
    return relativeLatencyByMachineType.getOrDefault(machineType, INITIAL_RELATIVE_LATENCY);
  }

  /** Returns the mean error rate of a zone, 0 to 1. */
  double errorRate(int zone) {
    return errorRateByZone.getOrDefault(zone, 0.0);
  }
}
