package merlinrouter.loadbalancing;

import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/**
 * Scores endpoints by their expected response time, including the cost of errors; the lowest score
 * is the best.
 */
final class EndpointScorer {
  /** Factor on the score of endpoints outside the gateway's zone. */
  private static final double OTHER_ZONE_FACTOR = 1.05;

  /** An endpoint's latency is at least this fraction of the age of its oldest attempt in flight. */
  private static final double ELAPSED_TIME_WEIGHT = 1.0 / 2;

  /** Error rates above this do not increase the score any further. */
  private static final double MAX_ERROR_RATE = 0.97;

  private final GatewaySettings settings;
  private final EventClock clock;
  private final LoadReports loadReports;

  EndpointScorer(GatewaySettings settings, EventClock clock, LoadReports loadReports) {
    this.settings = settings;
    this.clock = clock;
    this.loadReports = loadReports;
  }

  double score(EndpointTracker tracker) {
    double latency = Math.max(tracker.relativeLatency(), overdueLatency(tracker));
    latency *= loadReports.latencyFactor(tracker);
    double successRate = 1 - Math.min(MAX_ERROR_RATE, tracker.errorRate());
    double queueing = 1 + tracker.inFlightCount() / weight(tracker);
    // The success rate is squared because a failed attempt also costs a retry.
    double score = latency * queueing / (successRate * successRate);
    boolean sameZone = tracker.endpoint().zone() == settings.zone();
    return sameZone ? score : score * OTHER_ZONE_FACTOR;
  }

  /**
   * Returns a lower bound of the relative latency from the oldest attempt in flight: an overdue
   * response reveals a fault before the attempt ends.
   */
  private double overdueLatency(EndpointTracker tracker) {
    BalancedRequest oldest = tracker.oldestInFlight();
    if (oldest == null) {
      return Double.NEGATIVE_INFINITY;
    }
    double elapsedSeconds = clock.secondsSince(oldest.attemptStartedAtNanos());
    return elapsedSeconds / oldest.expectedServiceSeconds() * ELAPSED_TIME_WEIGHT;
  }

  private double weight(EndpointTracker tracker) {
    double weight = tracker.endpoint().weight();
    return settings.weightsMeaningful() && weight > 0 ? weight : 1;
  }
}
