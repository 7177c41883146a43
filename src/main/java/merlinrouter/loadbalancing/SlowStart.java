package merlinrouter.loadbalancing;

import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.Endpoint;
import merlinrouter.settings.ServiceRules;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Limits the work that an endpoint receives while it is warming up. The limit applies to the sum
 * over all gateways, but a gateway has no information about the rates of the others. Each gateway
 * therefore limits its own rate to the endpoint: to the endpoint's capacity fraction of the rate to
 * a warm endpoint. It selects requests at random, so that no unused capacity accumulates for a
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

  /** Returns whether an endpoint started so recently that its capacity is limited. */
  boolean isWarmingUp(EndpointTracker tracker) {
    Endpoint endpoint = tracker.endpoint();
    return endpoint.startedAtNanos() > 0
        && clock.nanosSince(endpoint.startedAtNanos()) < rules.slowStartDurationNanos();
  }

  /** Returns the current fraction of an endpoint's capacity, from the initial fraction to 1. */
  double capacityFraction(Endpoint endpoint) {
    long ageNanos = Math.max(0, clock.nanosSince(endpoint.startedAtNanos()));
    double relativeAge = ageNanos / (double) Math.max(1, rules.slowStartDurationNanos());
    double initial = rules.slowStartInitialFraction();
    return initial + (1 - initial) * Math.min(1, relativeAge);
  }

  /**
   * Decides at random whether an endpoint that is warming up may receive a request. The probability
   * is proportional to the time since the previous decision on this endpoint.
   *
   * @param ready all endpoints that take requests
   */
  boolean trySelect(EndpointTracker tracker, double expectedSeconds, List<EndpointTracker> ready) {
    int warmCount = 0;
    for (EndpointTracker each : ready) {
      warmCount += isWarmingUp(each) ? 0 : 1;
    }
    // Any endpoint can serve one request at a time from the whole fleet. Without this lower bound,
    // a gateway with no warm endpoint that has forwarded nothing yet would never forward a request.
    double workPerSecond =
        Math.max(forwardedWork.workPerSecond() / Math.max(1, warmCount), 1.0 / gatewayCount);
    double permittedSeconds =
        workPerSecond
            * capacityFraction(tracker.endpoint())
            * tracker.takeNanosSinceSlowStartCheck()
            * Nanos.IN_SECONDS;
    return random.nextDouble() * expectedSeconds < permittedSeconds;
  }
}
