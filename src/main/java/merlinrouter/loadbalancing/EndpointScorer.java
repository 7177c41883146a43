package merlinrouter.loadbalancing;

import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/**
 * Scores endpoints by the time in which they should answer, errors included; the lowest score is
 * the best.
 */
final class EndpointScorer {
  /** Factor on endpoints outside the gateway's zone. */
  private static final double OTHER_ZONE_FACTOR = 1.05;

  /** An attempt that is overdue for some time is taken to need half of it at least. */
  private static final double OVERDUE_WEIGHT = 1.0 / 2;

  /** Error rates above this do not raise the score any further. */
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
    // Errors weigh more than their share: an attempt that fails costs a retry as well.
    double score = latency * queueing / (successRate * successRate);
    boolean sameZone = tracker.endpoint().zone() == settings.zone();
    return sameZone ? score : score * OTHER_ZONE_FACTOR;
  }

  /** An overdue response shows a fault before its attempt ends. */
  private double overdueLatency(EndpointTracker tracker) {
    BalancedRequest oldest = tracker.oldestInFlight();
    if (oldest == null) {
      return Double.NEGATIVE_INFINITY;
    }
    double seconds = clock.secondsSince(oldest.attemptStartedAtNanos());
    return seconds / oldest.expectedServiceSeconds() * OVERDUE_WEIGHT;
  }

  private double weight(EndpointTracker tracker) {
    double weight = tracker.endpoint().weight();
    return settings.weightsMeaningful() && weight > 0 ? weight : 1;
  }
}
