package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.time.Nanos.PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** A customer's hard limit holds for the fleet, even without the counter and after restarts. */
class HardLimitTest {
  private static final QuotaPlan PLAN = new QuotaPlan(5, 20, 0, 1, 0, 1, 8, 32, 4);
  private static final double REQUEST_UNITS = 2;

  @Test
  void theHardLimitHoldsForTheFleetWithoutTheCounterAndAcrossRestarts() {
    double forwardedUnits = 0;
    for (int gatewayNumber = 0; gatewayNumber < 3; gatewayNumber++) {
      SimulatedHost first = new SimulatedHost(PLAN, 3, gatewayNumber).withEndpoints(6);
      forwardedUnits += forwardedUnits(first, 300);
      // The gateway restarts immediately and has no record of what it has forwarded.
      SimulatedHost restarted = new SimulatedHost(PLAN, 3, gatewayNumber).withEndpoints(6);
      forwardedUnits += forwardedUnits(restarted, 100);
    }
    assertTrue(forwardedUnits > 0, "some requests are forwarded");
    // At most the burst of 32 units, 8 units per second for the 4 s of requests, and 4 units over.
    assertTrue(forwardedUnits <= 32 + 8 * 4 + 4, "forwarded units: " + forwardedUnits);
  }

  /** Sends a request every 10 ms and returns the units of those that were forwarded. */
  private static double forwardedUnits(SimulatedHost host, int requests) {
    for (int i = 0; i < requests; i++) {
      int before = host.attempts.size();
      host.advance(10 * PER_MILLI);
      host.request(IDEMPOTENT, REQUEST_UNITS);
      List.copyOf(host.attempts.subList(before, host.attempts.size()))
          .forEach(attempt -> host.endAttempt(attempt.requestId(), Outcome.OK));
    }
    return REQUEST_UNITS * host.attempts.size();
  }
}
