package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** The number of attempts that a gateway has in flight. */
class ConcurrencyLevelTest {
  @Test
  void oneGatewayOfManyHasOneAttemptInFlightAndPausesIfThatIsTooMany() {
    for (int gatewayCount : new int[] {100, 240}) {
      SimulatedHost host = new SimulatedHost(UNLIMITED, gatewayCount, 0).withEndpoints(20);
      String first = host.request(IDEMPOTENT, 1);
      host.request(IDEMPOTENT, 1);
      assertEquals(
          1, host.attempts.size(), "two attempts of each gateway would overload 20 endpoints");
      host.endAttempt(first, Outcome.OK);
      // Each of 240 gateways has a level of 0.5, so it pauses for 20 ms after an attempt of 20 ms.
      assertEquals(gatewayCount == 100 ? 2 : 1, host.attempts.size());
      host.advance(30 * PER_MILLI);
      assertEquals(2, host.attempts.size());
    }
  }

  /** A broken connection does not indicate load, so it must not count as a slow response. */
  @Test
  void brokenConnectionsDoNotLowerTheLevel() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(4);
    int ended = 0;
    for (int tick = 0; tick < 1000; tick++) {
      for (int i = 0; i < 4; i++) {
        host.request(NON_IDEMPOTENT, 1);
      }
      host.advance(10 * PER_MILLI);
      for (int i = 0; i < 4 && host.attempts.size() - ended > 20; i++, ended++) {
        host.endAttempt(
            host.attempts.get(ended).requestId(), ended % 3 == 0 ? Outcome.RESET : Outcome.OK);
      }
    }
    for (; ended < host.attempts.size(); ended++) {
      host.endAttempt(host.attempts.get(ended).requestId(), Outcome.OK);
    }
    int before = host.attempts.size();
    for (int i = 0; i < 40; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertEquals(24, host.attempts.size() - before, "six for each endpoint");
  }

  /**
   * Ten responses per second at one gateway are too few for a meaningful 0.9 quantile: two timeouts
   * among them would determine it.
   */
  @Test
  void twoTimeoutsAmongTenResponsesDoNotLowerTheLevel() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 14, 0).withEndpoints(60);
    int ended = 0;
    for (int second = 0; second < 6; second++) {
      for (int i = 0; i < 10 && ended < host.attempts.size(); i++, ended++) {
        boolean timedOut = second == 4 && i < 2;
        host.endAttempt(
            host.attempts.get(ended).requestId(),
            timedOut ? Outcome.TIMEOUT : Outcome.OK,
            !timedOut);
      }
      for (int i = 0; i < 40; i++) {
        host.request(NON_IDEMPOTENT, 1);
      }
      host.advance(PER_SECOND);
    }
    assertEquals(
        26,
        host.attempts.size() - ended,
        "six for each of 60 endpoints, divided among 14 gateways");
  }
}
