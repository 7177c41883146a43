package merlinrouter.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import merlinrouter.time.EventClock;

/**
 * Mean latency by machine type and mean error rate by zone. With few attempts on an endpoint, a
 * gateway relies on those on similar endpoints.
 */
final class GroupStatistics {
  /** Weight of an attempt in a mean, before division by the number of ready endpoints. */
  private static final double SAMPLE_WEIGHT = 2 * EndpointTracker.LATENCY_SAMPLE_WEIGHT;

  /** Latency assumed for a machine type without attempts, relative to the expected time. */
  private static final double INITIAL_RELATIVE_LATENCY = 1;

  /** Time without an attempt on a zone from which on its error rate decays. */
  private static final double ERROR_RETENTION_SECONDS = 1;

  /** Time constant of this decay: a zone that is avoided for its errors is tried again. */
  private static final double ERROR_DECAY_SECONDS = 10;

  /** The mean error rate of a zone as of its last attempt. */
  private record ZoneErrors(double errorRate, long observedAtNanos) {}

  private final EventClock clock;
  private final Map<Integer, Double> relativeLatencyByMachineType = new HashMap<>();
  private final Map<Integer, ZoneErrors> errorsByZone = new HashMap<>();

  /** Creates statistics without any attempts. */
  GroupStatistics(EventClock clock) {
    this.clock = clock;
  }

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
    double errorRate = errorRate(zone);
    errorsByZone.put(
        zone, new ZoneErrors(errorRate + weight * (error - errorRate), clock.nowNanos()));
  }

  /** Returns the mean latency of a machine type, relative to the expected service time. */
  double relativeLatency(int machineType) {
    return relativeLatencyByMachineType.getOrDefault(machineType, INITIAL_RELATIVE_LATENCY);
  }

  /** Returns the mean error rate of a zone, 0 to 1; it decays while there are no attempts. */
  double errorRate(int zone) {
    ZoneErrors errors = errorsByZone.get(zone);
    if (errors == null) {
      return 0;
    }
    double idleSeconds = clock.secondsSince(errors.observedAtNanos);
    double decaySeconds = Math.max(0, idleSeconds - ERROR_RETENTION_SECONDS);
    return errors.errorRate * Math.exp(-decaySeconds / ERROR_DECAY_SECONDS);
  }
}
