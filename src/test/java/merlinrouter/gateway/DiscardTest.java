package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** A request whose handling an exception has interrupted releases what it holds when discarded. */
class DiscardTest {
  private static final QuotaPlan ONE_REQUEST_IN_FLIGHT =
      new QuotaPlan(100, 100, 1, 1, 0, 1, 0, 0, 0);

  private final SimulatedHost host =
      SimulatedHost.withoutCounter(ONE_REQUEST_IN_FLIGHT, 1).withEndpoints(2);

  private void assertNextRequestStarts() {
    String next = host.request(IDEMPOTENT, 1);
    assertEquals(1, host.attemptsOf(next).size());
  }

  @Test
  void afterTheStartOfItsAttemptFailed() {
    host.failNextAttemptStart();
    assertThrows(IllegalStateException.class, () -> host.request(IDEMPOTENT, 1));
    host.gateway.discard(host.nowNanos, "r0", false);
    assertNextRequestStarts();
  }

  @Test
  void afterTheStartOfItsRetryFailed() {
    String id = host.request(IDEMPOTENT, 1);
    host.failNextAttemptStart();
    assertThrows(IllegalStateException.class, () -> host.endAttempt(id, Outcome.ERROR));
    host.gateway.discard(host.nowNanos, id, false);
    assertNextRequestStarts();
  }

  @Test
  void whileItsAttemptIsInFlight() {
    String id = host.request(IDEMPOTENT, 1);
    host.gateway.discard(host.nowNanos, id, true);
    String waiting = host.request(IDEMPOTENT, 1);
    assertEquals(0, host.attemptsOf(waiting).size(), "the attempt of the first one counts");
    host.endAttempt(id, Outcome.ERROR);
    assertEquals(1, host.attemptsOf(waiting).size());
  }

  @Test
  void whileItIsQueued() {
    String first = host.request(IDEMPOTENT, 1);
    String queued = host.request(IDEMPOTENT, 1);
    host.gateway.discard(host.nowNanos, queued, false);
    host.endAttempt(first, Outcome.OK);
    assertEquals(0, host.attemptsOf(queued).size());
    assertNextRequestStarts();
  }

  @Test
  void aSecondDiscardHasNoEffect() {
    String id = host.request(IDEMPOTENT, 1);
    host.gateway.discard(host.nowNanos, id, false);
    host.gateway.discard(host.nowNanos, id, false);
    assertNextRequestStarts();
  }
}
