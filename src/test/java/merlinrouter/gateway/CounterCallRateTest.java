package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.quota;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;

/** The rate and the priorities of the calls that a gateway makes to the shared counter. */
class CounterCallRateTest {
  @Test
  void simultaneousRequestsOfUnknownCustomersDoNotExceedTheRate() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 300, 0).withEndpoints(20);
    int maxCalls = 0;
    for (int tick = 0; tick < 500; tick++) {
      // A hundred unknown customers send requests together, and the counter rejects every call.
      if (tick % 100 == 0) {
        for (int customer = 0; customer < 100; customer++) {
          host.request(IDEMPOTENT, 0, 1000 * tick + customer, 2, host.nowNanos + 3 * PER_SECOND);
        }
      }
      host.advance(10 * PER_MILLI);
      List<SimulatedHost.CounterCall> calls = host.takeCounterCalls();
      maxCalls = Math.max(maxCalls, calls.size());
      calls.forEach(call -> host.endCounterCall(call, Outcome.REJECTED, 0));
    }
    assertTrue(
        maxCalls >= 1 && maxCalls <= 2, "most calls in one tick, 1 or 2 expected: " + maxCalls);
  }

  @Test
  void callsForMoreUnitsHavePriority() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 300, 0).withEndpoints(20);
    int[] callsByUnits = new int[5];
    for (int tick = 0; tick < 2000; tick++) {
      // Each request is of another customer, alternately of 1 and 4 units. An answer takes up to
      // 20 ms, close to the 25 ms at which the limiter keeps its rate. The rate therefore rises
      // slowly, and fewer than half of the 50 requests per second get a call.
      int units = tick % 2 == 0 ? 1 : 4;
      String id = host.request(IDEMPOTENT, 0, tick, units, host.nowNanos + 3 * PER_SECOND);
      host.advance(20 * PER_MILLI);
      for (SimulatedHost.CounterCall call : host.takeCounterCalls()) {
        callsByUnits[(int) Math.max(0, call.units())]++;
        host.answerCounterCall(call, call.units());
      }
      host.attemptsOf(id).forEach(attempt -> host.endAttempt(attempt.requestId(), Outcome.OK));
    }
    assertTrue(
        callsByUnits[4] > 2 * callsByUnits[1], "calls by units: " + Arrays.toString(callsByUnits));
  }

  /**
   * All gateways of a fleet may start together. If the initial rate of each did not depend on their
   * number, a large fleet would overload the counter.
   */
  @Test
  void theInitialRateIsDividedAmongTheGateways() {
    assertTrue(callsInFirstSecond(2) >= 20);
    assertTrue(callsInFirstSecond(50) <= 6);
  }

  private static int callsInFirstSecond(int gatewayCount) {
    SimulatedHost host = new SimulatedHost(quota(5, 10), gatewayCount, 0).withEndpoints(4);
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

  /** Occasional broken connections indicate neither a silent nor an overloaded counter. */
  @Test
  void brokenConnectionsNeitherMarkTheCounterSilentNorLowerTheRate() {
    SimulatedHost host = new SimulatedHost(quota(5, 10), 4, 0).withEndpoints(4);
    int calls = 0;
    for (int tick = 0; tick < 3000; tick++) {
      if (tick % 4 == 0) {
        host.request(IDEMPOTENT, 0, tick % 40, 1, host.nowNanos + 900 * PER_MILLI);
      }
      host.advance(10 * PER_MILLI);
      for (SimulatedHost.CounterCall call : host.takeCounterCalls()) {
        calls++;
        host.endCounterCall(call, calls % 3 == 0 ? Outcome.RESET : Outcome.OK, call.units());
      }
    }
    assertTrue(
        host.logLines.stream().noneMatch(line -> line.contains("does not answer")),
        "log lines: " + host.logLines);
    assertTrue(calls > 300, calls + " calls in 30 s");
  }

  /** Some answers are late by chance; a rate lowered for each would leave the counter idle. */
  @Test
  void theRateFallsIfAllAnswersAreLateButNotIfAFewAre() {
    int someLate = callsWithLateAnswers(5);
    int allLate = callsWithLateAnswers(1);
    assertTrue(someLate > 300, "calls for 500 customers with some answers late: " + someLate);
    assertTrue(
        allLate < someLate / 3, "calls for 500 customers with every answer late: " + allLate);
  }

  /**
   * Returns the number of calls for 500 customers in 25 s.
   *
   * @param lateInterval one of this many answers is late
   */
  private static int callsWithLateAnswers(int lateInterval) {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 14, 0).withEndpoints(20);
    int calls = 0;
    for (long customer = 0; customer < 500; customer++) {
      host.request(IDEMPOTENT, 0, customer, 1, host.nowNanos + 900 * PER_MILLI);
      List<SimulatedHost.CounterCall> made = host.takeCounterCalls();
      calls++;
      long answerNanos = calls % lateInterval == 0 ? 40 * PER_MILLI : 5 * PER_MILLI;
      calls += made.size() - 1;
      host.nowNanos += answerNanos;
      made.forEach(call -> host.answerCounterCall(call, call.units()));
      host.advance(50 * PER_MILLI - answerNanos);
    }
    return calls;
  }

  /** Calls that a decision waits for must not use up the rate that reports need. */
  @Test
  void useIsReportedEvenIfCallsAreScarce() {
    SimulatedHost host = new SimulatedHost(quota(10, 30), 14, 0).withEndpoints(20);
    double reportedUnits = 0;
    int ended = 0;
    for (int tick = 0; tick < 2000; tick++) {
      // Five customers send requests repeatedly; the others are unknown and need a total.
      long customer = tick % 4 == 0 ? tick % 10 : 100 + tick;
      host.request(IDEMPOTENT, 0, customer, 1, host.nowNanos + 900 * PER_MILLI);
      // An answer takes 20 ms, close to the 25 ms at which the limiter keeps its rate.
      host.nowNanos += 20 * PER_MILLI;
      for (SimulatedHost.CounterCall call : host.takeCounterCalls()) {
        reportedUnits += call.units();
        host.answerCounterCall(call, call.units());
      }
      for (; ended < host.attempts.size(); ended++) {
        host.endAttempt(host.attempts.get(ended).requestId(), Outcome.OK);
      }
      host.advance(10 * PER_MILLI);
    }
    assertTrue(
        reportedUnits > 0.9 * host.attempts.size(),
        "units reported: " + reportedUnits + ", forwarded: " + host.attempts.size());
  }
}
