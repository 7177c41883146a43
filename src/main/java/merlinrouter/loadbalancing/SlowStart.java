package merlinrouter.loadbalancing;

import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.Endpoint;
import merlinrouter.settings.ServiceRules;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Limits the work that an endpoint gets while it is warming up. The limit has to hold for the sum
 * of all gateways, none of which knows what the others send: each one gives the endpoint its
 * fraction at random, in proportion to what it sends to a warm endpoint, and saves up nothing for a
 * burst.
 */
final class SlowStart {
  private final ServiceRules rules;
  private final int gatewayCount;
  private final ForwardedWork forwardedWork;
  private final EventClock clock;
  private final SplittableRandom random;

  SlowStart(
      ServiceRules rules,
      int gatewayCount,
      ForwardedWork forwardedWork,
      EventClock clock,
      SplittableRandom random) {
    this.rules = rules;
    this.gatewayCount = gatewayCount;
    this.forwardedWork = forwardedWork;
    this.clock = clock;
    this.random = random;
  }

  /** Whether an endpoint started so recently that its capacity is limited. */
  boolean isWarmingUp(EndpointTracker tracker) {
    Endpoint endpoint = tracker.endpoint();
    return endpoint.startedAtNanos() > 0
        && clock.nanosSince(endpoint.startedAtNanos()) < rules.slowStartDurationNanos();
  }

  /** The fraction of its capacity that an endpoint has now, from the initial fraction to 1. */
  double capacityFraction(Endpoint endpoint) {
    long ageNanos = Math.max(0, clock.nanosSince(endpoint.startedAtNanos()));
    double relativeAge = ageNanos / (double) Math.max(1, rules.slowStartDurationNanos());
    double initial = rules.slowStartInitialFraction();
    return initial + (1 - initial) * Math.min(1, relativeAge);
  }

  /**
   * Decides at random whether an endpoint that is warming up may get a request. Time that has been
   * used for a decision is not used for the next.
   *
   * @param ready all endpoints that take requests
   */
  boolean trySelect(EndpointTracker tracker, double expectedSeconds, List<EndpointTracker> ready) {
    int warm = 0;
    for (EndpointTracker each : ready) {
      warm += isWarmingUp(each) ? 0 : 1;
    }
    // Any endpoint bears one request at a time from the whole fleet. Without this floor a gateway
    // that has sent nothing yet, with no warm endpoint, would never begin.
    double workPerSecond =
        Math.max(forwardedWork.workPerSecond() / Math.max(1, warm), 1.0 / gatewayCount);
    double dueSeconds =
        workPerSecond
            * capacityFraction(tracker.endpoint())
            * tracker.takeNanosSinceSlowStartCheck()
            * Nanos.IN_SECONDS;
    return random.nextDouble() * expectedSeconds < dueSeconds;
  }
}
