package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.settings.TestSettings.quota;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** The laws and the counter rule on their own terms. */
class MechanismTest {
  @Test
  void fairQueueServesByShare() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(1);
    Set<String> unsafe = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      host.request(NON_IDEMPOTENT, 1);
    }
    for (int i = 0; i < 30; i++) {
      unsafe.add(host.request(NON_IDEMPOTENT, 1));
      if (i % 3 == 0) {
        host.request(IDEMPOTENT, 1);
      }
    }
    assertEquals(6, host.attempts.size(), "the operator's limit of one server");
    // As each ends the next is released. Worth 1 to 3: one safe for three unsafe.
    int ofUnsafe = 0;
    for (int next = 0; next < 24; next++) {
      host.endAttempt(host.attempts.get(next).requestId(), Outcome.OK);
      ofUnsafe += unsafe.contains(host.attempts.get(next + 6).requestId()) ? 1 : 0;
    }
    assertEquals(18, ofUnsafe, 2, "served by share within one round");
  }

  @Test
  void oneGatewayOfManyMayHaveOneOutAndRestsIfThatIsTooMany() {
    for (int siblings : new int[] {100, 240}) {
      SimulatedHost host = new SimulatedHost(UNLIMITED, siblings, 0).withEndpoints(20);
      String first = host.request(IDEMPOTENT, 1);
      host.request(IDEMPOTENT, 1);
      assertEquals(
          1,
          host.attempts.size(),
          "a hundred gateways with two out each would drown twenty servers");
      host.endAttempt(first, Outcome.OK);
      // 240 gateways have half a request each in flight: after 20 ms of work, 20 ms of rest.
      assertEquals(siblings == 100 ? 2 : 1, host.attempts.size());
      host.advance(30 * PER_MILLI);
      assertEquals(2, host.attempts.size());
    }
  }

  @Test
  void attemptsThatNeverRanAreNotCharged() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(6);
    for (int i = 0; i < 60; i++) {
      String id = host.request(IDEMPOTENT, 1);
      host.endAttempt(id, Outcome.REJECTED, false);
      assertEquals(2, host.attemptsOf(id).size(), "request " + i);
      host.endAttempt(id, Outcome.OK);
    }
  }

  /** A counter that all gateways of a test share. */
  private static final class SharedCounter {
    private final Map<Long, Double> totals = new HashMap<>();

    void answer(List<SimulatedHost> hosts) {
      for (SimulatedHost host : hosts) {
        List<SimulatedHost.CounterCall> calls = new ArrayList<>(host.counterCalls);
        host.counterCalls.clear();
        for (SimulatedHost.CounterCall call : calls) {
          double total = totals.merge(call.counterKey(), call.units(), Double::sum);
          host.answerCounterCall(call, total);
        }
      }
    }
  }

  private static double heavyUse(boolean counterAnswers, int seconds) {
    QuotaPlan plan = quota(10, 30);
    List<SimulatedHost> hosts = new ArrayList<>();
    for (int me = 0; me < 3; me++) {
      hosts.add(new SimulatedHost(plan, 3, me).withEndpoints(20));
    }
    SharedCounter counter = new SharedCounter();
    Map<SimulatedHost, Integer> ended = new HashMap<>();
    for (int tick = 0; tick < 100 * seconds; tick++) {
      for (SimulatedHost host : hosts) {
        host.advance(10 * PER_MILLI);
        if (tick % 5 == 0) {
          host.request(IDEMPOTENT, 1);
        }
        // Some are sent only when their call to the counter is given up.
        for (int sent = ended.merge(host, 0, Integer::sum); sent < host.attempts.size(); sent++) {
          host.endAttempt(host.attempts.get(sent).requestId(), Outcome.OK);
          ended.put(host, sent + 1);
        }
      }
      if (counterAnswers) {
        counter.answer(hosts);
      }
    }
    return hosts.stream().mapToInt(host -> host.attempts.size()).sum();
  }

  @Test
  void aCustomerStaysInQuotaOverAllGateways() {
    // Asked for: 60 a second for 20 s. The quota holds 30 + 10 a second; the last totals are late.
    double used = heavyUse(true, 20);
    assertTrue(used <= 1.2 * (30 + 10 * 20), "used " + used);
    assertTrue(used >= 0.8 * (30 + 10 * 20), "used " + used);
  }

  @Test
  void withTheCounterSilentTheQuotaIsDivided() {
    double used = heavyUse(false, 20);
    // Each may have let the whole burst in before the silence is noticed.
    assertTrue(used <= 3 * 30 + 10 * 20, "used " + used);
    assertTrue(used >= 0.7 * (30 + 10 * 20), "used " + used);
  }

  @Test
  void aCustomerRefusedAfterTheOthersSpikeIsLetInAgain() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 3, 0).withEndpoints(20);
    Map<Long, Double> totals = new HashMap<>();
    String last = "";
    int refusedInSpike = 0;
    for (int tick = 0; tick < 1500; tick++) {
      host.advance(10 * PER_MILLI);
      if (tick % 20 == 0) {
        last = host.request(IDEMPOTENT, 1);
        host.attemptsOf(last).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
      }
      for (SimulatedHost.CounterCall call : List.copyOf(host.counterCalls)) {
        // For four seconds the others use far more than the rate, then nothing.
        double others = tick < 400 ? 600 : 0;
        double total = totals.merge(call.counterKey(), call.units() + others, Double::sum);
        host.answerCounterCall(call, total);
      }
      host.counterCalls.clear();
      refusedInSpike = tick == 300 ? host.rejected.size() : refusedInSpike;
    }
    assertTrue(refusedInSpike > 0, "the spike is seen");
    assertEquals(1, host.attemptsOf(last).size(), "let in once the store has filled");
  }

  @Test
  void callsKeepToABudget() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 300, 0).withEndpoints(20);
    int most = 0;
    for (int tick = 0; tick < 500; tick++) {
      // A hundred customers at once, each never heard of; the counter turns every call away.
      if (tick % 100 == 0) {
        for (int customer = 0; customer < 100; customer++) {
          host.request(IDEMPOTENT, 0, 1000 * tick + customer, 2, host.nowNanos + 3 * PER_SECOND);
        }
      }
      host.advance(10 * PER_MILLI);
      most = Math.max(most, host.counterCalls.size());
      List<SimulatedHost.CounterCall> calls = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      calls.forEach(
          call ->
              host.gateway.counterCallEnded(host.nowNanos, call.counterKey(), Outcome.REJECTED, 0));
    }
    assertTrue(most >= 1 && most <= 2, "calls at one moment: " + most);
  }

  @Test
  void aCustomerNeverHeardOfIsAskedForFirst() {
    QuotaPlan plan = quota(10, 30);
    for (double others : new double[] {0, 100}) {
      SimulatedHost host = new SimulatedHost(plan, 300, 0).withEndpoints(20);
      host.advance(PER_SECOND);
      String id = host.request(IDEMPOTENT, 0, 7, 2, host.nowNanos + 3 * PER_SECOND);
      assertEquals(0, host.attempts.size(), "held until the total is there");
      SimulatedHost.CounterCall call = host.counterCalls.get(0);
      host.answerCounterCall(call, call.units() + others);
      assertEquals(others > 0 ? 0 : 1, host.attemptsOf(id).size());
      assertEquals(others > 0 ? 1 : 0, host.rejected.size());
    }
  }

  @Test
  void scarceCallsGoWhereMoreIsAtStake() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 300, 0).withEndpoints(20);
    int[] calls = new int[5];
    for (int tick = 0; tick < 2000; tick++) {
      // Each customer once, of 1 or 4 units in turn; far more of them than calls.
      int units = tick % 2 == 0 ? 1 : 4;
      String id = host.request(IDEMPOTENT, 0, tick, units, host.nowNanos + 3 * PER_SECOND);
      // Every answer is slow: the budget stays small.
      host.advance(20 * PER_MILLI);
      for (SimulatedHost.CounterCall call : List.copyOf(host.counterCalls)) {
        calls[(int) Math.max(0, call.units())]++;
        host.answerCounterCall(call, call.units());
      }
      host.counterCalls.clear();
      host.attemptsOf(id).forEach(s -> host.endAttempt(s.requestId(), Outcome.OK));
    }
    assertTrue(calls[4] > 2 * calls[1], "calls by units: " + Arrays.toString(calls));
  }

  @Test
  void aCallThatNeverEndsDoesNotHoldItsRequest() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 3, 0).withEndpoints(20);
    host.advance(PER_SECOND);
    String id = host.request(IDEMPOTENT, 1);
    host.advance(200 * PER_MILLI);
    assertEquals(1, host.attemptsOf(id).size());
  }

  @Test
  void gatewaysThatKnowNothingSpreadOverTheFleet() {
    HashSet<String> used = new HashSet<>();
    for (int seed = 0; seed < 40; seed++) {
      SimulatedHost host = new SimulatedHost(UNLIMITED, 40, 0, true, seed, false).withEndpoints(20);
      host.request(IDEMPOTENT, 1);
      used.add(host.attempts.get(0).endpointId());
    }
    assertTrue(used.size() >= 12, "first requests of 40 gateways went to " + used);
  }

  @Test
  void aServerThatTellsNoLoadIsNotIdle() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 40, 0, true, 7, true).withEndpoints(2);
    List<Double> busy = List.of(4.0);
    for (List<Double> other : List.of(busy, List.<Double>of())) {
      for (int i = 0; i < 20; i++) {
        host.advance(PER_SECOND);
        host.gateway.healthCheckEnded(host.nowNanos, "a", Outcome.OK, PER_MILLI, other);
        host.gateway.healthCheckEnded(host.nowNanos, "b", Outcome.OK, PER_MILLI, List.of(1.0));
        String id = host.request(IDEMPOTENT, 1);
        assertEquals("b", host.attemptsOf(id).get(0).endpointId(), "report of a: " + other);
        host.endAttempt(id, Outcome.OK);
      }
    }
    assertTrue(
        host.healthChecked.size() >= 20, "each request probes, where one's own answers are rare");
  }

  @Test
  void oddInputIsAnswered() {
    SimulatedHost host = SimulatedHost.withoutCounter(UNLIMITED, 1);
    host.request(9, 1);
    host.request(IDEMPOTENT, 5, 1, 1, host.nowNanos + 3 * PER_SECOND);
    assertEquals(2, host.rejected.size());
    host.gateway.attemptEnded(
        host.nowNanos, new AttemptResult("nobody", Outcome.OK, 1, "x", true, 0, 0, List.of()));
    host.gateway.clientDisconnected(host.nowNanos, "nobody");
    host.gateway.counterCallEnded(host.nowNanos, 5, Outcome.OK, 3);
    host.gateway.healthCheckEnded(host.nowNanos, "nobody", Outcome.TIMEOUT, 1, List.of(1.0, 2.0));
    host.withEndpoints(1);
    host.request(IDEMPOTENT, 0);
    assertEquals(1, host.attempts.size());
  }

  /** Ever new customers once grew the table for as long as the gateway ran. */
  @Test
  void aCustomerWhoseStoresAreFullAgainIsForgottenAndNoOther() {
    SimulatedHost host =
        SimulatedHost.withoutCounter(new QuotaPlan(1, 4, 0, 1, 0, 1, 2, 8, 4), 1).withEndpoints(2);
    host.advance(10 * PER_SECOND);
    for (long customer = 0; customer < 300; customer++) {
      host.endAttempt(
          host.request(IDEMPOTENT, 0, customer, 1, host.nowNanos + 3 * PER_SECOND), Outcome.OK);
    }
    String open = host.request(NON_IDEMPOTENT, 0, 1000, 1, host.nowNanos + 90 * PER_SECOND);
    host.endAttempt(
        host.request(IDEMPOTENT, 0, 1001, 4, host.nowNanos + 3 * PER_SECOND), Outcome.OK);
    host.advance(2 * PER_SECOND);
    assertEquals(304, host.gateway.trackedCustomersAndEndpoints());
    String early = host.request(IDEMPOTENT, 0, 1001, 4, host.nowNanos + 3 * PER_SECOND);
    assertTrue(host.rejected.contains(early), "what is used up must not be forgotten");
    host.advance(50 * PER_SECOND);
    assertEquals(
        3,
        host.gateway.trackedCustomersAndEndpoints(),
        "two servers and the customer whose request is open");
    host.endAttempt(open, Outcome.OK);
    host.advance(50 * PER_SECOND);
    assertEquals(2, host.gateway.trackedCustomersAndEndpoints());
    String later = host.request(IDEMPOTENT, 0, 1001, 4, host.nowNanos + 3 * PER_SECOND);
    assertEquals(1, host.attemptsOf(later).size());
  }

  /**
   * Ids of servers are ever new too; one that is gone is kept only for the attempts it still has.
   */
  @Test
  void aServerThatIsGoneIsForgottenWithItsLastAttempt() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 1, 0);
    host.updateEndpoint("a", 0, EndpointState.READY, 0);
    String id = host.request(NON_IDEMPOTENT, 0, 1, 1, host.nowNanos + 90 * PER_SECOND);
    for (int i = 0; i < 100; i++) {
      host.updateEndpoint("n" + i, 0, EndpointState.READY, 0);
      host.updateEndpoint("n" + i, 0, EndpointState.REMOVED, 0);
    }
    assertEquals(
        102, host.gateway.trackedCustomersAndEndpoints(), "for a while they might come back");
    host.updateEndpoint("a", 0, EndpointState.REMOVED, 0);
    host.advance(31 * PER_SECOND);
    host.updateEndpoint("b", 0, EndpointState.READY, 0);
    assertEquals(
        3, host.gateway.trackedCustomersAndEndpoints(), "the customer, b, and a with its attempt");
    host.endAttempt(id, Outcome.RESET);
    assertTrue(host.failed.contains(id));
    host.updateEndpoint("never", 0, EndpointState.REMOVED, 0);
    assertEquals(2, host.gateway.trackedCustomersAndEndpoints());
  }

  /** Two calls a second, as it once began, left the quotas to chance for the first ten seconds. */
  @Test
  void theFirstSecondHasCallsForManyCustomersAndManyGatewaysShareThem() {
    assertTrue(callsOfTheFirstSecond(2) >= 20);
    assertTrue(callsOfTheFirstSecond(50) <= 6);
  }

  private static int callsOfTheFirstSecond(int siblings) {
    SimulatedHost host = new SimulatedHost(quota(5, 10), siblings, 0).withEndpoints(4);
    int answered = 0;
    for (long customer = 0; customer < 40; customer++) {
      host.request(IDEMPOTENT, 0, customer, 1, host.nowNanos + 3 * PER_SECOND);
      host.advance(25 * PER_MILLI);
      for (; answered < host.counterCalls.size(); answered++) {
        SimulatedHost.CounterCall call = host.counterCalls.get(answered);
        host.answerCounterCall(call, call.units());
      }
    }
    return answered;
  }

  /**
   * Each once counted as an answer of twice the aim, which closed the loop on all that went well.
   */
  @Test
  void brokenConnectionsDoNotCloseTheConcurrencyLoop() {
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
    assertEquals(24, host.attempts.size() - before, "six for each server");
  }

  /** A line to the counter that breaks now and then is no silent counter, nor a crowded one. */
  @Test
  void aCallThatBreaksNeitherSilencesTheCounterNorSlowsTheCalls() {
    SimulatedHost host = new SimulatedHost(quota(5, 10), 4, 0).withEndpoints(4);
    int calls = 0;
    for (int tick = 0; tick < 3000; tick++) {
      if (tick % 4 == 0) {
        host.request(IDEMPOTENT, 0, tick % 40, 1, host.nowNanos + 900 * PER_MILLI);
      }
      host.advance(10 * PER_MILLI);
      List<SimulatedHost.CounterCall> made = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      for (SimulatedHost.CounterCall call : made) {
        host.gateway.counterCallEnded(
            host.nowNanos,
            call.counterKey(),
            ++calls % 3 == 0 ? Outcome.RESET : Outcome.OK,
            call.units());
      }
    }
    assertTrue(
        host.logLines.stream().noneMatch(line -> line.contains("silent")), "" + host.logLines);
    assertTrue(calls > 300, calls + " calls in 30 s");
  }

  /**
   * Units asked for and refused once passed for use untold, and with it the others' use for ten
   * times as much.
   */
  @Test
  void whatOneCustomerIsRefusedDoesNotMakeTheUseOfAnotherLookLarger() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 3, 0).withEndpoints(20);
    for (int i = 0; i < 400; i++) {
      host.request(IDEMPOTENT, 0, 1, 1, host.nowNanos + 900 * PER_MILLI);
      answerWithOthers(host, 0);
      host.advance(10 * PER_MILLI);
    }
    assertTrue(host.rejected.size() > 200, "far beyond its quota");
    int before = host.rejected.size();
    for (int i = 0; i < 10; i++) {
      host.request(IDEMPOTENT, 0, 2, 1, host.nowNanos + 900 * PER_MILLI);
      // The others have used 9 units of 30.
      answerWithOthers(host, 9);
    }
    assertEquals(before, host.rejected.size(), "half of its quota is unused");
  }

  private static void answerWithOthers(SimulatedHost host, double others) {
    List<SimulatedHost.CounterCall> made = List.copyOf(host.counterCalls);
    host.counterCalls.clear();
    for (SimulatedHost.CounterCall call : made) {
      host.answerCounterCall(call, call.units() + others);
    }
  }

  /**
   * A step down for each late answer, late by chance as they are for one of many, left the counter
   * idle.
   */
  @Test
  void aFewLateAnswersDoNotStopTheRateOfCallsButAllOfThemDo() {
    int some = callsWithLateOnes(5), all = callsWithLateOnes(1);
    assertTrue(some > 300, "of 500 that would ask: " + some);
    assertTrue(all < some / 3, "while every answer is late: " + all);
  }

  /** Calls for 500 customers in 25 s, one of so many answers being late. */
  private static int callsWithLateOnes(int every) {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 14, 0).withEndpoints(20);
    int calls = 0;
    for (long customer = 0; customer < 500; customer++) {
      host.request(IDEMPOTENT, 0, customer, 1, host.nowNanos + 900 * PER_MILLI);
      List<SimulatedHost.CounterCall> made = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      long span = ++calls % every == 0 ? 40 * PER_MILLI : 5 * PER_MILLI;
      calls += made.size() - 1;
      host.nowNanos += span;
      made.forEach(call -> host.answerCounterCall(call, call.units()));
      host.advance(50 * PER_MILLI - span);
    }
    return calls;
  }

  /**
   * Ten answers come in a second at one of many gateways: two that are late there are no slow back
   * end.
   */
  @Test
  void twoLateAnswersOfAFewDoNotCloseTheConcurrencyLoop() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 14, 0).withEndpoints(60);
    int ended = 0;
    for (int second = 0; second < 6; second++) {
      for (int i = 0; i < 10 && ended < host.attempts.size(); i++, ended++) {
        host.endAttempt(
            host.attempts.get(ended).requestId(),
            second == 4 && i < 2 ? Outcome.TIMEOUT : Outcome.OK,
            second != 4 || i >= 2);
      }
      for (int i = 0; i < 40; i++) {
        host.request(NON_IDEMPOTENT, 1);
      }
      host.advance(PER_SECOND);
    }
    assertEquals(26, host.attempts.size() - ended, "six for each of 60 servers, divided over 14");
  }

  /**
   * Questions took nearly all calls, and what went out unasked came to the others' knowledge late
   * or never.
   */
  @Test
  void useThatWasNotAskedForIsToldThoughCallsAreScarce() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 14, 0).withEndpoints(20);
    double told = 0;
    int ended = 0;
    for (int tick = 0; tick < 2000; tick++) {
      // Ten customers ask again and again, and each that is new takes a question.
      host.request(
          IDEMPOTENT,
          0,
          tick % 4 == 0 ? tick % 10 : 100 + tick,
          1,
          host.nowNanos + 900 * PER_MILLI);
      host.nowNanos += 20 * PER_MILLI;
      List<SimulatedHost.CounterCall> made = List.copyOf(host.counterCalls);
      host.counterCalls.clear();
      for (SimulatedHost.CounterCall call : made) {
        told += call.units();
        // As late as a counter at its best load is.
        host.answerCounterCall(call, call.units());
      }
      for (; ended < host.attempts.size(); ended++) {
        host.endAttempt(host.attempts.get(ended).requestId(), Outcome.OK);
      }
      host.advance(10 * PER_MILLI);
    }
    assertTrue(told > 0.9 * host.attempts.size(), "told " + told + " of " + host.attempts.size());
  }
}
