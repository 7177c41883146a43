package merlinrouter.stats;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import merlinrouter.model.Outcome;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.Nanos;

/**
 * Measurements of one request class: moving averages over its attempts, and sums over the present
 * control interval.
 */
public final class ClassStatistics {
  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** Before the first response, service is assumed to take this fraction of the objective. */
  private static final double INITIAL_SERVICE_PER_OBJECTIVE = 1.0 / 8;

  /** Bounds on a request's expected service time, relative to the mean of its class. */
  private static final double MIN_RELATIVE_SERVICE = 0.3;

  private static final double MAX_RELATIVE_SERVICE = 3;

  /** A failed attempt counts as this many times the latency objective. */
  private static final double FAILURE_PER_OBJECTIVE = 2;

  private static final double MIN_MEAN_UNITS = 1e-9;

  /**
   * Outcomes that say nothing of load. A broken connection must not count as a slow response, which
   * would lower the concurrency level for all other work.
   */
  private static final Set<Outcome> UNRELATED_TO_LOAD =
      EnumSet.of(Outcome.RESET, Outcome.CANCELLED, Outcome.NOT_SENT);

  private final RequestClass requestClass;
  private final List<Double> serviceSamples = new ArrayList<>();
  private double meanServiceSeconds;
  private double meanUnits = 1;
  private double meanPlanValue = 1;
  private int arrivals;
  private int successes;
  private double latencySumSeconds;
  private double queueingSumSeconds;

  /** Creates the statistics of a class without any attempt. */
  public ClassStatistics(RequestClass requestClass) {
    this.requestClass = requestClass;
    meanServiceSeconds =
        Nanos.toSeconds(requestClass.latencyObjectiveNanos()) * INITIAL_SERVICE_PER_OBJECTIVE;
  }

  /** The class that is measured. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** Counts a request that arrived. */
  public void recordArrival() {
    arrivals++;
  }

  /** Adds an attempt that ended. */
  public void recordAttempt(AttemptSample sample) {
    if (sample.outcome() == Outcome.OK) {
      recordSuccess(sample);
    } else if (!UNRELATED_TO_LOAD.contains(sample.outcome())) {
      // A fast failure must not look like a fast response, which would raise the concurrency level.
      serviceSamples.add(
          Math.max(sample.serviceSeconds(), FAILURE_PER_OBJECTIVE * objectiveSeconds()));
    }
  }

  private void recordSuccess(AttemptSample sample) {
    successes++;
    meanServiceSeconds += SAMPLE_WEIGHT * (sample.serviceSeconds() - meanServiceSeconds);
    meanUnits += SAMPLE_WEIGHT * (sample.units() - meanUnits);
    meanPlanValue += SAMPLE_WEIGHT * (sample.valueFactor() * sample.units() - meanPlanValue);
    latencySumSeconds += sample.latencySeconds();
    queueingSumSeconds += sample.queueingSeconds();
    serviceSamples.add(sample.serviceSeconds());
  }

  /** Starts the next control interval. */
  public void startInterval() {
    arrivals = 0;
    successes = 0;
    latencySumSeconds = 0;
    queueingSumSeconds = 0;
  }

  /** Expected service time of a request, in seconds, in proportion to its units within bounds. */
  public double expectedServiceSeconds(double units) {
    double relative = units / Math.max(MIN_MEAN_UNITS, meanUnits);
    return meanServiceSeconds
        * Math.max(MIN_RELATIVE_SERVICE, Math.min(MAX_RELATIVE_SERVICE, relative));
  }

  /** The latency objective in seconds. */
  public double objectiveSeconds() {
    return Nanos.toSeconds(requestClass.latencyObjectiveNanos());
  }

  /** Moving average of the service time of successful attempts, in seconds. */
  public double meanServiceSeconds() {
    return meanServiceSeconds;
  }

  /** Moving average of the value factor of a request's plan times its units. */
  public double meanPlanValue() {
    return meanPlanValue;
  }

  /** Requests that arrived in the present interval. */
  public int arrivals() {
    return arrivals;
  }

  /** Attempts that succeeded in the present interval. */
  public int successes() {
    return successes;
  }

  /** Sum of the latencies of successful attempts in the present interval, in seconds. */
  public double latencySumSeconds() {
    return latencySumSeconds;
  }

  /** Sum of the times that successful attempts had been queued, in seconds. */
  public double queueingSumSeconds() {
    return queueingSumSeconds;
  }

  /** How many service times were sampled since they were last cleared. */
  public int serviceSampleCount() {
    return serviceSamples.size();
  }

  /**
   * A quantile of the sampled service times, in seconds; failures count as slow. The samples may
   * have been collected over several intervals.
   *
   * @param quantile from 0 for the shortest to 1 for the longest
   */
  public double serviceQuantileSeconds(double quantile) {
    double[] sorted = serviceSamples.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted[(int) (quantile * (sorted.length - 1))];
  }

  /** Drops the sampled service times. */
  public void clearServiceSamples() {
    serviceSamples.clear();
  }
}
