package merlinrouter.loadbalancing;

import java.util.LinkedHashSet;
import java.util.Set;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * The state of one incarnation of an endpoint at a gateway: its entry in the endpoint list, its
 * attempts in flight, and its observed latency, errors and load.
 */
public final class EndpointTracker {
  /** Weight of an attempt in the endpoint's mean latency. */
  static final double LATENCY_SAMPLE_WEIGHT = 0.12;

  /** Weight of a success in the endpoint's error rate. */
  private static final double SUCCESS_SAMPLE_WEIGHT = 0.2;

  /** Weight of an error: above that of a success, so that a faulty endpoint is detected soon. */
  private static final double ERROR_SAMPLE_WEIGHT = 2 * SUCCESS_SAMPLE_WEIGHT;

  /** Weight of a failed connect: a single one shows that the endpoint is unreachable. */
  private static final double CONNECT_FAILURE_SAMPLE_WEIGHT = 1;

  /** Time constant with which observations decay toward the mean of the endpoint's group. */
  private static final double DECAY_SECONDS = 4;

  /** How long a removed endpoint keeps its statistics, in case it is listed again. */
  private static final long RETENTION_NANOS = 30 * Nanos.PER_SECOND;

  /** Upper bound on the recorded latency of an attempt, relative to the expected time. */
  private static final double MAX_RELATIVE_LATENCY = 20;

  /** Lower bound on the recorded latency of a failure, relative to the expected time. */
  private static final double MIN_RELATIVE_LATENCY_OF_FAILURE = 3;

  /** Error value of a rejection, which indicates load rather than a fault. */
  private static final double REJECTION_ERROR = 0.5;

  /** An endpoint with a higher error rate is logged as an outlier. */
  private static final double OUTLIER_ERROR_RATE = 0.5;

  private final EventClock clock;
  private final GroupStatistics groups;
  private final Set<BalancedRequest> inFlight = new LinkedHashSet<>();
  private Endpoint endpoint;
  private boolean ready;
  private boolean outlier;
  private double relativeLatency;
  private double errorRate;
  private long observedAtNanos;
  private double reportedLoad;
  private long loadReportedAtNanos;
  private long slowStartCheckedAtNanos;
  private boolean removed;
  private long removedAtNanos;

  /**
   * Creates a tracker whose statistics start at the means of the endpoint's group.
   *
   * @param gatewayStartedAtNanos initial value for the time of the last load report
   */
  EndpointTracker(
      Endpoint endpoint, GroupStatistics groups, EventClock clock, long gatewayStartedAtNanos) {
    this.endpoint = endpoint;
    this.groups = groups;
    this.clock = clock;
    relativeLatency = groups.relativeLatency(endpoint.machineType());
    errorRate = groups.errorRate(endpoint.zone());
    observedAtNanos = clock.nowNanos();
    slowStartCheckedAtNanos = clock.nowNanos();
    loadReportedAtNanos = gatewayStartedAtNanos;
  }

  /** Returns the endpoint's entry in the endpoint list. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Applies an entry of the endpoint list for the same incarnation of the endpoint. */
  void update(Endpoint entry) {
    endpoint = entry;
    ready = entry.state() == EndpointState.READY;
    removed = false;
  }

  /** Records that the endpoint was removed from the endpoint list. */
  void markRemoved() {
    ready = false;
    if (!removed) {
      removed = true;
      removedAtNanos = clock.nowNanos();
    }
  }

  /** Records that the endpoint has restarted; its new incarnation has a tracker of its own. */
  void markReplaced() {
    ready = false;
  }

  /** Returns whether the endpoint takes new requests. */
  boolean isReady() {
    return ready;
  }

  /**
   * Returns whether the tracker can be dropped: the endpoint was removed at least the retention
   * period ago and has no attempts in flight.
   */
  boolean isDisposable() {
    return removed && clock.nanosSince(removedAtNanos) >= RETENTION_NANOS && inFlight.isEmpty();
  }

  void attemptStarted(BalancedRequest request) {
    inFlight.add(request);
  }

  /** Returns the number of attempts in flight on the endpoint. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** Returns the request whose attempt has been in flight longest; null if there is none. */
  BalancedRequest oldestInFlight() {
    return inFlight.isEmpty() ? null : inFlight.iterator().next();
  }

  void attemptEnded(BalancedRequest request) {
    inFlight.remove(request);
  }

  /**
   * Updates the statistics with an attempt that has ended.
   *
   * @param expectedSeconds the expected duration of the attempt
   * @param endpointCount the number of ready endpoints
   * @return whether the attempt made the endpoint an outlier, or ended that status
   */
  boolean observe(AttemptResult result, double expectedSeconds, int endpointCount) {
    boolean success = result.outcome() == Outcome.OK;
    double latency =
        Math.min(MAX_RELATIVE_LATENCY, Nanos.toSeconds(result.durationNanos()) / expectedSeconds);
    if (!success) {
      latency = Math.max(MIN_RELATIVE_LATENCY_OF_FAILURE, latency);
    }
    double error = error(result.outcome());
    groups.recordAttempt(endpoint.machineType(), endpoint.zone(), latency, error, endpointCount);
    relativeLatency = relativeLatency();
    errorRate = errorRate();
    observedAtNanos = clock.nowNanos();
    relativeLatency += LATENCY_SAMPLE_WEIGHT * (latency - relativeLatency);
    errorRate += errorWeight(result.outcome()) * (error - errorRate);
    boolean wasOutlier = outlier;
    outlier = errorRate > OUTLIER_ERROR_RATE;
    return outlier != wasOutlier;
  }

  private static double error(Outcome outcome) {
    return switch (outcome) {
      case OK -> 0;
      case REJECTED -> REJECTION_ERROR;
      default -> 1;
    };
  }

  private static double errorWeight(Outcome outcome) {
    return switch (outcome) {
      case OK -> SUCCESS_SAMPLE_WEIGHT;
      case CONNECT_FAILED -> CONNECT_FAILURE_SAMPLE_WEIGHT;
      default -> ERROR_SAMPLE_WEIGHT;
    };
  }

  /** Returns whether the endpoint's error rate makes it an outlier. */
  boolean isOutlier() {
    return outlier;
  }

  /**
   * Returns the mean latency relative to the expected service time, decayed toward the mean of its
   * machine type.
   */
  double relativeLatency() {
    return decayed(relativeLatency, groups.relativeLatency(endpoint.machineType()));
  }

  /** Returns the mean error rate, decayed toward that of its zone. */
  double errorRate() {
    return decayed(errorRate, groups.errorRate(endpoint.zone()));
  }

  private double decayed(double observed, double groupMean) {
    double weight = Math.exp(-clock.secondsSince(observedAtNanos) / DECAY_SECONDS);
    return groupMean + (observed - groupMean) * weight;
  }

  /** Records the load computed from a load report. */
  void loadReported(double load) {
    reportedLoad = load;
    loadReportedAtNanos = clock.nowNanos();
  }

  /** Returns the load of the last report; 0 before the first one. */
  double reportedLoad() {
    return reportedLoad;
  }

  /** Returns the seconds since the last load report, or since the gateway started. */
  double loadReportAgeSeconds() {
    return clock.secondsSince(loadReportedAtNanos);
  }

  /**
   * Returns the nanoseconds since the previous call, or since the tracker was created, and resets
   * the interval.
   */
  long takeNanosSinceSlowStartCheck() {
    long elapsedNanos = clock.nanosSince(slowStartCheckedAtNanos);
    slowStartCheckedAtNanos = clock.nowNanos();
    return elapsedNanos;
  }
}
