package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.settings.TestSettings;
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

  /** The host has forgotten the first one; the gateway still waits for the counter. */
  @Test
  void aRequestWithTheIdOfOneWhoseClientLeftDuringItsCounterCallIsRejectedAtOnce() {
    SimulatedHost counting = new SimulatedHost(TestSettings.quota(20, 15), 3, 0).withEndpoints(1);
    String id = counting.request(IDEMPOTENT, 1);
    SimulatedHost.CounterCall call = counting.takeCounterCalls().get(0);
    counting.gateway.clientDisconnected(counting.nowNanos, id);
    long deadlineNanos = counting.nowNanos + 3 * PER_SECOND;
    counting.gateway.requestReceived(
        counting.nowNanos, new ClientRequest(id, IDEMPOTENT, 0, 1, deadlineNanos, 1, 3, 0, false));
    assertEquals(List.of(id), counting.rejected);
    counting.answerCounterCall(call, 1);
    assertEquals(List.of(id), counting.rejected);
    assertEquals(List.of(), counting.attempts);
  }
}
