package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** Requests of one gateway to an endpoint that is warming up. */
class EndpointSlowStartTest {
  private final SimulatedHost host = new SimulatedHost(UNLIMITED, 3, 0);

  @Test
  void anEndpointThatRestartedUnderItsIdIsWarmingUp() {
    host.withEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.REMOVED, 0);
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, host.nowNanos);
    for (int i = 0; i < 20; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertTrue(host.attempts.size() <= 1, "attempts started immediately: " + host.attempts.size());
  }

  @Test
  void anEndpointThatIsWarmingUpGetsFewerRequestsThanAWarmOne() {
    host.withEndpoints(4);
    host.updateEndpoint("z", 0, EndpointState.READY, host.nowNanos);
    Map<String, Integer> attempts = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.advance(10 * PER_MILLI);
      host.endAttempt(id, Outcome.OK);
    }
    host.attempts.forEach(attempt -> attempts.merge(attempt.endpointId(), 1, Integer::sum));
    int warmingUp = attempts.getOrDefault("z", 0);
    int warm = (300 - warmingUp) / 4;
    assertTrue(warmingUp > 0, "an endpoint needs requests to warm up");
    assertTrue(
        warmingUp < 0.6 * warm, "attempts while warming up: " + warmingUp + ", warm: " + warm);
  }
}
