package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.settings.ServiceRules;
import merlinrouter.settings.TestSettings;
import org.junit.jupiter.api.Test;

/**
 * Slow start in a fleet: an endpoint that is warming up receives the requests of all gateways, and
 * each gateway has information only on its own. All randomness is seeded.
 */
class FleetSlowStartTest {
  private static final ServiceRules RULES = TestSettings.gateway(UNLIMITED, 1).rules();
  private static final long SERVICE_TIME_NANOS = 100 * PER_MILLI;
  private static final long STEP_NANOS = 10 * PER_MILLI;

  /** Number of requests that a warm endpoint serves concurrently. */
  private static final int WARM_ENDPOINT_CAPACITY = 2;

  /** The endpoint whose requests are counted. */
  private static final String OBSERVED_ENDPOINT = "cold0";

  /** An attempt and the time of its response. */
  private record AttemptInFlight(SimulatedHost.Attempt attempt, long endsAtNanos) {}

  /** Gateways with a common clock; all requests have the same service time. */
  private static final class Fleet {
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<Deque<AttemptInFlight>> inFlightByHost = new ArrayList<>();
    private final int[] processedAttemptsByHost;
    private final List<Long> observedStartsNanos = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(11);
    private long servedRequests;
    private long sentRequests;

    Fleet(int gatewayCount) {
      processedAttemptsByHost = new int[gatewayCount];
      for (int i = 0; i < gatewayCount; i++) {
        hosts.add(new SimulatedHost(UNLIMITED, gatewayCount, i, false, 100 + i, false));
        inFlightByHost.add(new ArrayDeque<>());
      }
    }

    long nowNanos() {
      return hosts.get(0).nowNanos;
    }

    void addEndpoints(String prefix, int count, long startedAtNanos) {
      for (SimulatedHost host : hosts) {
        for (int i = 0; i < count; i++) {
          host.updateEndpoint(prefix + i, 0, EndpointState.READY, startedAtNanos);
        }
      }
    }

    void removeAllEndpoints() {
      for (SimulatedHost host : hosts) {
        host.gateway.endpointsUpdated(host.nowNanos, EndpointUpdateType.FULL, List.of());
      }
    }

    /** Sends requests to randomly chosen gateways, at a total rate, for a duration. */
    void sendRequests(double requestsPerSecond, long durationNanos) {
      for (long untilNanos = nowNanos() + durationNanos; nowNanos() < untilNanos; ) {
        double expected = requestsPerSecond * STEP_NANOS / PER_SECOND;
        for (; expected > 0 && random.nextDouble() < expected; expected--) {
          hosts.get(random.nextInt(hosts.size())).request(IDEMPOTENT, 1);
          sentRequests++;
        }
        step();
      }
    }

    /** Sends one request to each gateway at the same time. */
    void sendBurst() {
      for (SimulatedHost host : hosts) {
        host.request(IDEMPOTENT, 1);
        sentRequests++;
      }
      step();
    }

    private void step() {
      for (int i = 0; i < hosts.size(); i++) {
        SimulatedHost host = hosts.get(i);
        host.advance(STEP_NANOS);
        endDueAttempts(host, inFlightByHost.get(i));
        for (; processedAttemptsByHost[i] < host.attempts.size(); processedAttemptsByHost[i]++) {
          SimulatedHost.Attempt attempt = host.attempts.get(processedAttemptsByHost[i]);
          inFlightByHost
              .get(i)
              .add(new AttemptInFlight(attempt, host.nowNanos + SERVICE_TIME_NANOS));
          if (attempt.endpointId().equals(OBSERVED_ENDPOINT)) {
            observedStartsNanos.add(host.nowNanos);
          }
        }
      }
    }

    private void endDueAttempts(SimulatedHost host, Deque<AttemptInFlight> inFlight) {
      while (!inFlight.isEmpty() && inFlight.peek().endsAtNanos() <= host.nowNanos) {
        SimulatedHost.Attempt attempt = inFlight.poll().attempt();
        servedRequests++;
        host.gateway.attemptEnded(
            host.nowNanos,
            new AttemptResult(
                attempt.requestId(),
                Outcome.OK,
                SERVICE_TIME_NANOS,
                attempt.endpointId(),
                true,
                0,
                0,
                List.of()));
      }
    }

    /**
     * Checks that no overload window has more requests than the endpoint can serve without
     * overload, plus an allowance for random variation.
     */
    void assertNotOverloaded(long startedAtNanos) {
      Collections.sort(observedStartsNanos);
      assertFalse(observedStartsNanos.isEmpty(), "an endpoint needs requests to warm up");
      int first = 0;
      for (int last = 0; last < observedStartsNanos.size(); last++) {
        while (observedStartsNanos.get(last) - observedStartsNanos.get(first)
            >= RULES.overloadWindowNanos()) {
          first++;
        }
        long ageNanos = observedStartsNanos.get(first) - startedAtNanos;
        double maxRequests = maxRequestsInWindow(ageNanos);
        int requests = last - first + 1;
        assertTrue(
            requests <= maxRequests + 2 * Math.sqrt(maxRequests) + 2,
            requests
                + " requests in an overload window, "
                + maxRequests
                + " possible without overload, window starts at age "
                + ageNanos / PER_MILLI
                + " ms of the endpoint");
      }
    }

    /** Returns the most requests without overload in the window that starts at an age. */
    private static double maxRequestsInWindow(long ageNanos) {
      double relativeAge = Math.max(0, ageNanos) / (double) RULES.slowStartDurationNanos();
      double initial = RULES.slowStartInitialFraction();
      double capacity =
          WARM_ENDPOINT_CAPACITY * (initial + (1 - initial) * Math.min(1, relativeAge));
      return RULES.overloadFactor() * capacity * RULES.overloadWindowNanos() / SERVICE_TIME_NANOS;
    }
  }

  @Test
  void oneColdEndpointAmongWarmOnesIsNotOverloadedByABusyFleet() {
    Fleet fleet = new Fleet(120);
    fleet.addEndpoints("warm", 9, 0);
    fleet.sendRequests(150, 5 * PER_SECOND);
    long startNanos = fleet.nowNanos();
    fleet.addEndpoints("cold", 1, startNanos);
    fleet.sendRequests(150, 10 * PER_SECOND);
    fleet.assertNotOverloaded(startNanos);
  }

  /** If gateways saved up unused capacity, all of them could use it at the same time. */
  @Test
  void aBurstAfterLowLoadDoesNotOverloadAColdEndpoint() {
    Fleet fleet = new Fleet(120);
    fleet.addEndpoints("warm", 3, 0);
    fleet.sendRequests(50, 5 * PER_SECOND);
    long startNanos = fleet.nowNanos();
    fleet.addEndpoints("cold", 1, startNanos);
    for (int i = 0; i < 4; i++) {
      fleet.sendRequests(60, 500 * PER_MILLI);
      fleet.sendRequests(2, 1500 * PER_MILLI);
      fleet.sendBurst();
    }
    fleet.assertNotOverloaded(startNanos);
  }

  /** No endpoint is warm, so no warm endpoint's load can limit the load of the cold ones. */
  @Test
  void endpointsThatAllRestartAtTheSameTimeAreNotOverloaded() {
    Fleet fleet = new Fleet(120);
    fleet.addEndpoints("warm", 4, 0);
    fleet.sendRequests(70, 5 * PER_SECOND);
    long startNanos = fleet.nowNanos();
    fleet.removeAllEndpoints();
    fleet.addEndpoints("cold", 4, startNanos);
    fleet.sendRequests(120, 8 * PER_SECOND);
    fleet.assertNotOverloaded(startNanos);
  }

  /** A gateway that has forwarded nothing yet must still send requests to a cold endpoint. */
  @Test
  void gatewaysThatStartAtTheSameTimeAsAllEndpointsServeRequests() {
    Fleet fleet = new Fleet(30);
    long startNanos = fleet.nowNanos();
    fleet.addEndpoints("cold", 6, startNanos);
    fleet.sendRequests(20, 8 * PER_SECOND);
    fleet.assertNotOverloaded(startNanos);
    assertTrue(
        fleet.servedRequests > fleet.sentRequests / 8,
        "requests served: " + fleet.servedRequests + ", sent: " + fleet.sentRequests);
  }
}
