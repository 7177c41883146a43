package merlinrouter.stats;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import merlinrouter.model.Outcome;
import merlinrouter.settings.RequestClass;
import merlinrouter.time.Nanos;

/**
 * Statistics of one request class: moving averages over its successful attempts, sums over the
 * current control interval, and samples of service times.
 */
public final class ClassStatistics {
  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** Initial mean service time, as a fraction of the latency objective. */
  private static final double INITIAL_SERVICE_PER_OBJECTIVE = 1.0 / 8;

  /** Bounds on a request's expected service time, relative to the mean of its class. */
  private static final double MIN_RELATIVE_SERVICE = 0.3;

  private static final double MAX_RELATIVE_SERVICE = 3;

  /** Least service time sampled for a failed attempt, as a multiple of the latency objective. */
  private static final double FAILURE_PER_OBJECTIVE = 2;

  private static final double MIN_MEAN_UNITS = 1e-9;

  /**
   * Outcomes that do not indicate load; they add no sample. A broken connection must not count as a
   * slow response, which would lower the concurrency level for all other requests.
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

  /** Returns the request class that the statistics are about. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** Counts a request that has arrived. */
  public void recordArrival() {
    arrivals++;
  }

  /** Records an attempt that has ended. */
  public void recordAttempt(AttemptSample sample) {
    if (sample.outcome() == Outcome.OK) {
      recordSuccess(sample);
    } else if (!UNRELATED_TO_LOAD.contains(sample.outcome())) {
      // A fast failure must not count as a fast response, which would raise the concurrency level.
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

  /** Starts the next control interval: resets its sums, but not the averages and samples. */
  public void startInterval() {
    arrivals = 0;
    successes = 0;
    latencySumSeconds = 0;
    queueingSumSeconds = 0;
  }

  /**
   * Returns the expected service time of a request in seconds: proportional to its units, within
   * bounds.
   */
  public double expectedServiceSeconds(double units) {
    double relative = units / Math.max(MIN_MEAN_UNITS, meanUnits);
    return meanServiceSeconds
        * Math.max(MIN_RELATIVE_SERVICE, Math.min(MAX_RELATIVE_SERVICE, relative));
  }

  /** Returns the latency objective in seconds. */
  public double objectiveSeconds() {
    return Nanos.toSeconds(requestClass.latencyObjectiveNanos());
  }

  /** Returns the moving average of the service time of successful attempts, in seconds. */
  public double meanServiceSeconds() {
    return meanServiceSeconds;
  }

  /** Returns the moving average of value factor times units over successful attempts. */
  public double meanPlanValue() {
    return meanPlanValue;
  }

  /** Returns the number of requests that have arrived in the current interval. */
  public int arrivals() {
    return arrivals;
  }

  /** Returns the number of attempts that have succeeded in the current interval. */
  public int successes() {
    return successes;
  }

  /**
   * Returns the sum of the latencies of successful attempts in the current interval, in seconds.
   */
  public double latencySumSeconds() {
    return latencySumSeconds;
  }

  /**
   * Returns the sum of the queueing times of successful attempts in the current interval, in
   * seconds.
   */
  public double queueingSumSeconds() {
    return queueingSumSeconds;
  }

  /** Returns the number of service times sampled since they were last cleared. */
  public int serviceSampleCount() {
    return serviceSamples.size();
  }

  /**
   * Returns a quantile of the sampled service times, in seconds; failures count as slow responses.
   * The samples may span several intervals; there must be at least one.
   *
   * @param quantile from 0 for the shortest to 1 for the longest
   */
  public double serviceQuantileSeconds(double quantile) {
    double[] sorted = serviceSamples.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted[(int) (quantile * (sorted.length - 1))];
  }

  /** Discards the sampled service times. */
  public void clearServiceSamples() {
    serviceSamples.clear();
  }
}
