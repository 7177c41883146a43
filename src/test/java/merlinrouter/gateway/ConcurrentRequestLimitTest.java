package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** A plan's limit on the requests that a customer has in flight. */
class ConcurrentRequestLimitTest {
  @Test
  void requestsBeyondTheLimitWaitWithoutBlockingOtherCustomers() {
    QuotaPlan plan = new QuotaPlan(100, 100, 3, 1, 0, 1, 0, 0, 0);
    SimulatedHost host = new SimulatedHost(plan, 1, 0).withEndpoints(4);
    for (int i = 0; i < 4; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertEquals(3, host.attempts.size());
    host.request(IDEMPOTENT, 0, 2, 1, host.nowNanos + 3 * PER_SECOND);
    assertEquals("r4", host.attempts.get(3).requestId());
    host.endAttempt("r0", Outcome.OK);
    assertEquals("r3", host.attempts.get(4).requestId());
  }
}
