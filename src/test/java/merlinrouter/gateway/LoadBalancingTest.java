package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** The endpoints that a gateway chooses for attempts and health checks. */
class LoadBalancingTest {
  @Test
  void gatewaysWithoutMeasurementsSpreadRequestsOverTheEndpoints() {
    Set<String> chosen = new HashSet<>();
    for (int seed = 0; seed < 40; seed++) {
      SimulatedHost host = new SimulatedHost(UNLIMITED, 40, 0, true, seed, false).withEndpoints(20);
      host.request(IDEMPOTENT, 1);
      chosen.add(host.attempts.get(0).endpointId());
    }
    assertTrue(chosen.size() >= 12, "endpoints of the first requests of 40 gateways: " + chosen);
  }

  @Test
  void anEndpointWithAnEmptyLoadReportIsNotAssumedIdle() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 40, 0, true, 7, true).withEndpoints(2);
    List<Double> busy = List.of(4.0);
    for (List<Double> report : List.of(busy, List.<Double>of())) {
      for (int i = 0; i < 20; i++) {
        host.advance(PER_SECOND);
        host.gateway.healthCheckEnded(host.nowNanos, "a", Outcome.OK, PER_MILLI, report);
        host.gateway.healthCheckEnded(host.nowNanos, "b", Outcome.OK, PER_MILLI, List.of(1.0));
        String id = host.request(IDEMPOTENT, 1);
        assertEquals("b", host.attemptsOf(id).get(0).endpointId(), "report of a: " + report);
        host.endAttempt(id, Outcome.OK);
      }
    }
    assertTrue(
        host.healthChecked.size() >= 20,
        "while responses are rare, each request starts a health check");
  }
}
