package merlinrouter.loadbalancing;

import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests which zone gets attempts before, during and after an outage of the gateway's own zone. */
class LoadBalancerTest {
  private static final int GATEWAYS = 20;
  private static final int ENDPOINTS = 40;
  private static final int ZONES = 2;
  private static final int OWN_ZONE = 0;
  private static final int ATTEMPTS_PER_SECOND = 30;
  private static final double EXPECTED_SECONDS = 0.05;

  private record Request(long attemptStartedAtNanos) implements BalancedRequest {
    @Override
    public double expectedServiceSeconds() {
      return EXPECTED_SECONDS;
    }
  }

  private final EventClock clock = new EventClock(100 * PER_SECOND);
  private final LoadBalancer balancer =
      new LoadBalancer(
          TestSettings.gateway(UNLIMITED, GATEWAYS), text -> {}, clock, new SplittableRandom(3));

  /** Makes attempts for some time and returns how many were made on the gateway's own zone. */
  private int attemptsOnOwnZone(int seconds, Outcome ownZoneOutcome) {
    int attempts = 0;
    for (int i = 0; i < seconds * ATTEMPTS_PER_SECOND; i++) {
      clock.advanceTo(clock.nowNanos() + PER_SECOND / ATTEMPTS_PER_SECOND);
      Request request = new Request(clock.nowNanos());
      EndpointTracker tracker = balancer.choose(request);
      boolean ownZone = tracker.endpoint().zone() == OWN_ZONE;
      Outcome outcome = ownZone ? ownZoneOutcome : Outcome.OK;
      balancer.attemptStarted(tracker, request);
      balancer.attemptEnded(
          tracker,
          request,
          new AttemptResult(
              "r", outcome, 50 * PER_MILLI, tracker.endpoint().id(), true, 0, 0, List.of()));
      attempts += ownZone ? 1 : 0;
    }
    return attempts;
  }

  /** Without attempts on the zone, nothing else would end what its outage has shown. */
  @Test
  void aZoneThatHasFailedIsUsedAgainAfterItsOutage() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(new Endpoint("s-" + i, 1, i % ZONES, 0, 0, EndpointState.READY, 0));
    }
    balancer.updateEndpoints(EndpointUpdateType.FULL, endpoints);
    assertEquals(10 * ATTEMPTS_PER_SECOND, attemptsOnOwnZone(10, Outcome.OK));
    int duringOutage = attemptsOnOwnZone(40, Outcome.TIMEOUT);
    assertTrue(duringOutage < 4 * ATTEMPTS_PER_SECOND, duringOutage + " attempts failed");
    attemptsOnOwnZone(20, Outcome.OK);
    int afterwards = attemptsOnOwnZone(10, Outcome.OK);
    assertTrue(
        afterwards > 9 * ATTEMPTS_PER_SECOND, afterwards + " attempts in 10 s after the outage");
  }
}
