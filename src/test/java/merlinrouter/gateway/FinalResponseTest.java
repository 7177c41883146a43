package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.KEY_IN_CELL;
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
    SimulatedHost hostWithoutCounter = SimulatedHost.withoutCounter(UNLIMITED, 1);
    hostWithoutCounter.request(9, 1);
    hostWithoutCounter.request(IDEMPOTENT, 5, 1, 1, hostWithoutCounter.nowNanos + 3 * PER_SECOND);
    assertEquals(2, hostWithoutCounter.rejected.size());
    hostWithoutCounter.gateway.attemptEnded(
        hostWithoutCounter.nowNanos,
        new AttemptResult("unknown", Outcome.OK, 1, "x", true, 0, 0, List.of()));
    hostWithoutCounter.gateway.clientDisconnected(hostWithoutCounter.nowNanos, "unknown");
    hostWithoutCounter.gateway.counterCallEnded(hostWithoutCounter.nowNanos, 5, Outcome.OK, 3);
    hostWithoutCounter.gateway.healthCheckEnded(
        hostWithoutCounter.nowNanos, "unknown", Outcome.TIMEOUT, 1, List.of(1.0, 2.0));
    hostWithoutCounter.withEndpoints(1);
    hostWithoutCounter.request(IDEMPOTENT, 0);
    assertEquals(1, hostWithoutCounter.attempts.size());
  }

  /** The host no longer tracks the first request; the gateway still waits for the counter. */
  @Test
  void aRequestWithTheIdOfOneWhoseClientLeftDuringItsCounterCallIsRejectedAtOnce() {
    SimulatedHost hostWithCounter =
        new SimulatedHost(TestSettings.quota(20, 15), 3, 0).withEndpoints(1);
    String id = hostWithCounter.request(IDEMPOTENT, 1);
    SimulatedHost.CounterCall call = hostWithCounter.takeCounterCalls().get(0);
    hostWithCounter.gateway.clientDisconnected(hostWithCounter.nowNanos, id);
    long deadlineNanos = hostWithCounter.nowNanos + 3 * PER_SECOND;
    hostWithCounter.gateway.requestReceived(
        hostWithCounter.nowNanos,
        new ClientRequest(id, IDEMPOTENT, 0, 1, deadlineNanos, 1, 3, 0, false));
    assertEquals(List.of(id), hostWithCounter.rejected);
    hostWithCounter.answerCounterCall(call, 1);
    assertEquals(List.of(id), hostWithCounter.rejected);
    assertEquals(List.of(), hostWithCounter.attempts);
  }

  /**
   * The end of the first request's attempt, which the host did not start, is yet to be reported.
   */
  @Test
  void aRequestWithTheIdOfOneThatTheHostHasFailedIsRejectedAtOnce() {
    host.withEndpoints(1);
    String id = host.request(NON_IDEMPOTENT, 1);
    receiveAgain(id, NON_IDEMPOTENT);
    assertEquals(List.of(id), host.rejected);
    host.endAttempt(id, Outcome.NOT_SENT, true);
    assertEquals(List.of(id), host.rejected);
    assertEquals(1, host.attemptsOf(id).size());
  }

  /** The first request may have been executed: a further one would execute it again. */
  @Test
  void aRequestWithTheIdOfOneThatMayHaveBeenExecutedIsFailedAtOnce() {
    host.withEndpoints(2);
    String id = host.request(KEY_IN_CELL, 1);
    host.endAttempt(id, Outcome.RESET);
    assertEquals(2, host.attemptsOf(id).size());
    receiveAgain(id, KEY_IN_CELL);
    assertEquals(List.of(id), host.failed);
    assertEquals(List.of(), host.rejected);
  }

  private void receiveAgain(String id, int classIndex) {
    host.gateway.requestReceived(
        host.nowNanos,
        new ClientRequest(id, classIndex, 0, 1, host.nowNanos + 3 * PER_SECOND, 1, 3, 0, false));
  }
}
