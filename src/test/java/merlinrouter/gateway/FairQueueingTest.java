package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** Queued requests are released in proportion to the shares of their classes. */
class FairQueueingTest {
  @Test
  void classesAreServedInProportionToTheirShares() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(1);
    Set<String> nonIdempotent = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      host.request(NON_IDEMPOTENT, 1);
    }
    for (int i = 0; i < 30; i++) {
      nonIdempotent.add(host.request(NON_IDEMPOTENT, 1));
      if (i % 3 == 0) {
        host.request(IDEMPOTENT, 1);
      }
    }
    assertEquals(6, host.attempts.size(), "the limit of one endpoint");
    // Each attempt that ends releases a request. The priority weights are 3 and 1.
    int releasedNonIdempotent = 0;
    for (int next = 0; next < 24; next++) {
      host.endAttempt(host.attempts.get(next).requestId(), Outcome.OK);
      String released = host.attempts.get(next + 6).requestId();
      releasedNonIdempotent += nonIdempotent.contains(released) ? 1 : 0;
    }
    assertEquals(18, releasedNonIdempotent, 2, "three quarters of 24 releases, within one round");
  }
}
