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
 * What a gateway knows of one incarnation of an endpoint: its entry in the list, the attempts in
 * flight on it, and its latency, errors and load as observed.
 */
public final class EndpointTracker {
  /** Weight of an attempt in the endpoint's mean latency. */
  static final double LATENCY_SAMPLE_WEIGHT = 0.12;

  /** Weight of a success in the endpoint's error rate. */
  private static final double SUCCESS_SAMPLE_WEIGHT = 0.2;

  /** Weight of an error: above that of a success, so that a faulty endpoint is noticed soon. */
  private static final double ERROR_SAMPLE_WEIGHT = 2 * SUCCESS_SAMPLE_WEIGHT;

  /** A failed connect says at once that the endpoint is unreachable. */
  private static final double CONNECT_FAILURE_SAMPLE_WEIGHT = 1;

  /** Time constant with which observations decay toward the mean of the endpoint's group. */
  private static final double DECAY_SECONDS = 4;

  /** How long a removed endpoint is remembered. */
  private static final long RETENTION_NANOS = 30 * Nanos.PER_SECOND;

  /** Upper bound on an attempt's duration, relative to the expected one. */
  private static final double MAX_RELATIVE_LATENCY = 20;

  /** A failure counts as an attempt that took at least this long, relative to the expected time. */
  private static final double MIN_RELATIVE_LATENCY_OF_FAILURE = 3;

  /** A rejection shows load rather than a fault. */
  private static final double REJECTION_ERROR = 0.5;

  /** An endpoint with a higher error rate is an outlier. */
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
   * Creates a tracker that takes an endpoint to be like its group.
   *
   * @param gatewayStartedAtNanos stands for the time of the last load report
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

  /** The endpoint's entry in the list. */
  public Endpoint endpoint() {
    return endpoint;
  }

  /** Takes over a changed entry of the same incarnation of the endpoint. */
  void update(Endpoint entry) {
    endpoint = entry;
    ready = entry.state() == EndpointState.READY;
    removed = false;
  }

  /** Records that the list does not hold the endpoint any more. */
  void markRemoved() {
    ready = false;
    if (!removed) {
      removed = true;
      removedAtNanos = clock.nowNanos();
    }
  }

  /** Records that another incarnation of the endpoint has taken its place. */
  void markReplaced() {
    ready = false;
  }

  /** Whether the endpoint takes new requests. */
  boolean isReady() {
    return ready;
  }

  /** Whether nothing needs the tracker any more. */
  boolean isDisposable() {
    return removed && clock.nanosSince(removedAtNanos) >= RETENTION_NANOS && inFlight.isEmpty();
  }

  void attemptStarted(BalancedRequest request) {
    inFlight.add(request);
  }

  /** How many attempts are in flight on the endpoint. */
  int inFlightCount() {
    return inFlight.size();
  }

  /** The request whose attempt has been in flight longest; null if there is none. */
  BalancedRequest oldestInFlight() {
    return inFlight.isEmpty() ? null : inFlight.iterator().next();
  }

  void attemptEnded(BalancedRequest request) {
    inFlight.remove(request);
  }

  /**
   * Updates the statistics by an attempt that ended.
   *
   * @param expectedSeconds the expected duration of the attempt
   * @param endpointCount how many endpoints are ready
   * @return whether the endpoint became an outlier, or ceased to be one, by it
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

  /** Whether the endpoint's error rate marks it as an outlier. */
  boolean isOutlier() {
    return outlier;
  }

  /** Mean latency relative to the expected service time, decayed toward that of its kind. */
  double relativeLatency() {
    return decayed(relativeLatency, groups.relativeLatency(endpoint.machineType()));
  }

  /** Mean error rate, decayed toward that of its zone. */
  double errorRate() {
    return decayed(errorRate, groups.errorRate(endpoint.zone()));
  }

  private double decayed(double observed, double groupMean) {
    double weight = Math.exp(-clock.secondsSince(observedAtNanos) / DECAY_SECONDS);
    return groupMean + (observed - groupMean) * weight;
  }

  /** Records the load of a load report. */
  void loadReported(double load) {
    reportedLoad = load;
    loadReportedAtNanos = clock.nowNanos();
  }

  /** The load of the last report; 0 if there was none. */
  double reportedLoad() {
    return reportedLoad;
  }

  /** Seconds since the last load report. */
  double loadReportAgeSeconds() {
    return clock.secondsSince(loadReportedAtNanos);
  }

  /** Returns the nanoseconds since the last call, and starts counting anew. */
  long takeNanosSinceSlowStartCheck() {
    long elapsedNanos = clock.nanosSince(slowStartCheckedAtNanos);
    slowStartCheckedAtNanos = clock.nowNanos();
    return elapsedNanos;
  }
}
