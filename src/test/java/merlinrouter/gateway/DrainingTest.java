package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import org.junit.jupiter.api.Test;

/** Endpoints that drain or were removed get no new requests. */
class DrainingTest {
  private final SimulatedHost host = new SimulatedHost(UNLIMITED, 3, 0);

  @Test
  void aDrainingEndpointGetsNoRequestsUntilItIsReadyAgain() {
    host.withEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.DRAINING, 0);
    host.request(IDEMPOTENT, 1);
    host.advance(100 * PER_MILLI);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, 0);
    assertEquals(1, host.attempts.size());
  }

  @Test
  void anEndpointMissingFromAFullListIsRemoved() {
    host.withEndpoints(2);
    host.gateway.endpointsUpdated(host.nowNanos, EndpointUpdateType.FULL, List.of());
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
  }
}
