package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.KEY_EVERYWHERE;
import static merlinrouter.settings.TestSettings.KEY_IN_CELL;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The five rules at their edges. */
class RulesTest {
  private final SimulatedHost host = new SimulatedHost(UNLIMITED, 3, 0);

  @Test
  void queuedPastItsTimeIsRefusedBeforeTheDeadline() {
    String id = host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.advance(PER_SECOND);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void shortDeadlineBehindALongOneIsAnsweredToo() {
    SimulatedHost full = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(1);
    for (int i = 0; i < 6; i++) {
      full.request(IDEMPOTENT, 1);
    }
    full.request(IDEMPOTENT, 0, 1, 1, full.nowNanos + 3 * PER_SECOND);
    String hurried = full.request(IDEMPOTENT, 0, 1, 1, full.nowNanos + 300 * PER_MILLI);
    full.advance(300 * PER_MILLI);
    assertEquals(List.of(hurried), full.rejected);
  }

  @Test
  void arrivingWithNoTimeLeftIsAnsweredAtOnce() {
    host.withEndpoints(1);
    String id = host.request(IDEMPOTENT, 0, 1, 1, host.nowNanos + PER_MILLI);
    assertEquals(List.of(id), host.rejected);
    assertEquals(List.of(), host.attempts);
  }

  @Test
  void timeOutAtTheDeadlineStillOwesTheAnswer() {
    host.withEndpoints(1);
    String id = host.request(NON_IDEMPOTENT, 1);
    host.nowNanos += 3 * PER_SECOND;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.failed);
    assertEquals(List.of(), host.rejected);
  }

  @Test
  void nothingFollowsWhenTheClientIsGone() {
    host.withEndpoints(2);
    String id = host.request(IDEMPOTENT, 1);
    host.gateway.clientDisconnected(host.nowNanos, id);
    host.endAttempt(id, Outcome.ERROR, true);
    host.advance(2 * PER_SECOND);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(), host.rejected);
    assertEquals(List.of(), host.failed);
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"OK"},
      mode = EnumSource.Mode.EXCLUDE)
  void unsafeGoesOutAgainOnlyWhenItNeverRan(Outcome outcome) {
    host.withEndpoints(3);
    String id = host.request(NON_IDEMPOTENT, 1);
    host.endAttempt(id, outcome, false);
    if (outcome.provesNotExecuted()) {
      assertEquals(2, host.attemptsOf(id).size());
    } else {
      assertEquals(1, host.attemptsOf(id).size());
      assertEquals(List.of(id), host.failed);
      assertFalse(host.rejected.contains(id));
    }
  }

  @Test
  void keyedStaysInItsCell() {
    host.withEndpoints(4);
    String id = host.request(KEY_IN_CELL, 1);
    host.endAttempt(id, Outcome.ERROR, false);
    List<SimulatedHost.Attempt> attempts = host.attemptsOf(id);
    assertEquals(2, attempts.size());
    assertNotEquals(attempts.get(0).endpointId(), attempts.get(1).endpointId());
    assertEquals(
        attempts.get(0).endpointId().charAt(0) % 2, attempts.get(1).endpointId().charAt(0) % 2);
  }

  @Test
  void keyedIsNotSentAgainAfterItsWindowNorRefused() {
    host.withEndpoints(4);
    String id = host.request(KEY_IN_CELL, 1);
    host.nowNanos += 700 * PER_MILLI;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(id), host.failed);
  }

  @Test
  void keyedOverAllServersMayBeRefused() {
    host.withEndpoints(4);
    String id = host.request(KEY_EVERYWHERE, 1);
    host.nowNanos += 700 * PER_MILLI;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void attemptsOverTheCapWaitAndHoldUpNobodyElse() {
    SimulatedHost capped =
        new SimulatedHost(new QuotaPlan(100, 100, 3, 1, 0, 1, 0, 0, 0), 1, 0).withEndpoints(4);
    for (int i = 0; i < 4; i++) {
      capped.request(IDEMPOTENT, 1);
    }
    assertEquals(3, capped.attempts.size());
    capped.request(IDEMPOTENT, 0, 2, 1, capped.nowNanos + 3 * PER_SECOND);
    assertEquals("r4", capped.attempts.get(3).requestId());
    capped.endAttempt("r0", Outcome.OK);
    assertEquals("r3", capped.attempts.get(4).requestId());
  }

  @Test
  void drainToldWhileQueuedIsKept() {
    host.withEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.DRAINING, 0);
    host.request(IDEMPOTENT, 1);
    host.advance(100 * PER_MILLI);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, 0);
    assertEquals(1, host.attempts.size());
  }

  @Test
  void goneAndBackUnderTheSameIdIsCold() {
    host.withEndpoints(1);
    host.updateEndpoint("a", 0, EndpointState.REMOVED, 0);
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.updateEndpoint("a", 0, EndpointState.READY, host.nowNanos);
    for (int i = 0; i < 20; i++) {
      host.request(IDEMPOTENT, 1);
    }
    assertTrue(host.attempts.size() <= 1, "sent at once to a cold server: " + host.attempts.size());
  }

  @Test
  void absentFromAFullListIsGone() {
    host.withEndpoints(2);
    host.gateway.endpointsUpdated(host.nowNanos, EndpointUpdateType.FULL, List.of());
    host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
  }

  @Test
  void coldServerGetsASmallPart() {
    host.withEndpoints(4);
    host.updateEndpoint("z", 0, EndpointState.READY, host.nowNanos);
    Map<String, Integer> sends = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.advance(10 * PER_MILLI);
      host.endAttempt(id, Outcome.OK);
    }
    host.attempts.forEach(s -> sends.merge(s.endpointId(), 1, Integer::sum));
    int warm = (300 - sends.getOrDefault("z", 0)) / 4;
    assertTrue(sends.getOrDefault("z", 0) > 0, "a cold server must warm");
    assertTrue(sends.get("z") < 0.6 * warm, "cold " + sends.get("z") + " against warm " + warm);
  }

  @Test
  void ceilingHoldsForAllGatewaysTogetherWithoutTheCounterAndOverARestart() {
    QuotaPlan plan = new QuotaPlan(5, 20, 0, 1, 0, 1, 8, 32, 4);
    double sent = 0;
    for (int me = 0; me < 3; me++) {
      SimulatedHost one = new SimulatedHost(plan, 3, me).withEndpoints(6);
      sent += flood(one, 300);
      // The same number starts again a moment later, with nothing in hand.
      SimulatedHost again = new SimulatedHost(plan, 3, me).withEndpoints(6);
      sent += flood(again, 100);
    }
    assertTrue(sent > 0, "something is let in");
    assertTrue(sent <= 32 + 8 * 4 + 4, "sent " + sent);
  }

  private static double flood(SimulatedHost host, int ticks) {
    for (int i = 0; i < ticks; i++) {
      int before = host.attempts.size();
      host.advance(10 * PER_MILLI);
      host.request(IDEMPOTENT, 2);
      host.attempts.subList(before, host.attempts.size()).stream()
          .toList()
          .forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
    }
    return 2.0 * host.attempts.size();
  }
}
