package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** Each request gets one final response, unless its client disconnects first. */
class FinalResponseTest {
  private final SimulatedHost host = new SimulatedHost(UNLIMITED, 3, 0);

  @Test
  void anAttemptThatTimesOutAtTheDeadlineStillGetsAFinalResponse() {
    host.withEndpoints(1);
    String id = host.request(NON_IDEMPOTENT, 1);
    host.nowNanos += 3 * PER_SECOND;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.failed);
    assertEquals(List.of(), host.rejected);
  }

  @Test
  void aDisconnectedClientGetsNoRetryAndNoFinalResponse() {
    host.withEndpoints(2);
    String id = host.request(IDEMPOTENT, 1);
    host.gateway.clientDisconnected(host.nowNanos, id);
    host.endAttempt(id, Outcome.ERROR, true);
    host.advance(2 * PER_SECOND);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(), host.rejected);
    assertEquals(List.of(), host.failed);
  }

  @Test
  void unknownClassesAndPlansAreRejectedAndEventsOfUnknownRequestsIgnored() {
    SimulatedHost alone = SimulatedHost.withoutCounter(UNLIMITED, 1);
    alone.request(9, 1);
    alone.request(IDEMPOTENT, 5, 1, 1, alone.nowNanos + 3 * PER_SECOND);
    assertEquals(2, alone.rejected.size());
    alone.gateway.attemptEnded(
        alone.nowNanos, new AttemptResult("unknown", Outcome.OK, 1, "x", true, 0, 0, List.of()));
    alone.gateway.clientDisconnected(alone.nowNanos, "unknown");
    alone.gateway.counterCallEnded(alone.nowNanos, 5, Outcome.OK, 3);
    alone.gateway.healthCheckEnded(
        alone.nowNanos, "unknown", Outcome.TIMEOUT, 1, List.of(1.0, 2.0));
    alone.withEndpoints(1);
    alone.request(IDEMPOTENT, 0);
    assertEquals(1, alone.attempts.size());
  }
}
