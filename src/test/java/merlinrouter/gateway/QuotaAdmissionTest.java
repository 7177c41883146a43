package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.quota;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** Admission by a customer's quota, which holds for all gateways together. */
class QuotaAdmissionTest {
  private static final QuotaPlan PLAN = quota(10, 30);

  /** A counter that all gateways of a test share. */
  private static final class SharedCounter {
    private final Map<Long, Double> totalsByKey = new HashMap<>();

    void answerCalls(List<SimulatedHost> hosts) {
      for (SimulatedHost host : hosts) {
        for (SimulatedHost.CounterCall call : host.takeCounterCalls()) {
          host.answerCounterCall(
              call, totalsByKey.merge(call.counterKey(), call.units(), Double::sum));
        }
      }
    }
  }

  /** Requests 20 units per second from each of three gateways; returns the units forwarded. */
  private static double forwardedUnits(boolean counterAnswers, int seconds) {
    List<SimulatedHost> hosts = new ArrayList<>();
    for (int gatewayNumber = 0; gatewayNumber < 3; gatewayNumber++) {
      hosts.add(new SimulatedHost(PLAN, 3, gatewayNumber).withEndpoints(20));
    }
    SharedCounter counter = new SharedCounter();
    Map<SimulatedHost, Integer> ended = new HashMap<>();
    for (int tick = 0; tick < 100 * seconds; tick++) {
      for (SimulatedHost host : hosts) {
        host.advance(10 * PER_MILLI);
        if (tick % 5 == 0) {
          host.request(IDEMPOTENT, 1);
        }
        // Some attempts start only when a call to the counter is overdue.
        for (int next = ended.merge(host, 0, Integer::sum); next < host.attempts.size(); next++) {
          host.endAttempt(host.attempts.get(next).requestId(), Outcome.OK);
          ended.put(host, next + 1);
        }
      }
      if (counterAnswers) {
        counter.answerCalls(hosts);
      }
    }
    return hosts.stream().mapToInt(host -> host.attempts.size()).sum();
  }

  @Test
  void aCustomerOfSeveralGatewaysStaysWithinTheQuota() {
    // 60 units per second are requested for 20 s. The quota is a burst of 30, and 10 per second.
    double usedUnits = forwardedUnits(true, 20);
    assertTrue(usedUnits <= 1.2 * (30 + 10 * 20), "units used: " + usedUnits);
    assertTrue(usedUnits >= 0.8 * (30 + 10 * 20), "units used: " + usedUnits);
  }

  @Test
  void whileTheCounterIsSilentTheQuotaIsDividedAmongTheGateways() {
    double usedUnits = forwardedUnits(false, 20);
    // Each gateway may admit the whole burst before it detects that the counter is silent.
    assertTrue(usedUnits <= 3 * 30 + 10 * 20, "units used: " + usedUnits);
    assertTrue(usedUnits >= 0.7 * (30 + 10 * 20), "units used: " + usedUnits);
  }

  @Test
  void aCustomerRejectedDuringAPeakAtOtherGatewaysIsAdmittedAfterIt() {
    SimulatedHost host = new SimulatedHost(PLAN, 3, 0).withEndpoints(20);
    Map<Long, Double> totalsByKey = new HashMap<>();
    String last = "";
    int rejectedInPeak = 0;
    for (int tick = 0; tick < 1500; tick++) {
      host.advance(10 * PER_MILLI);
      if (tick % 20 == 0) {
        last = host.request(IDEMPOTENT, 1);
        host.attemptsOf(last).forEach(attempt -> host.endAttempt(attempt.requestId(), Outcome.OK));
      }
      for (SimulatedHost.CounterCall call : host.takeCounterCalls()) {
        // The other gateways use far more than the quota for four seconds, then nothing.
        double othersUnits = tick < 400 ? 600 : 0;
        host.answerCounterCall(
            call, totalsByKey.merge(call.counterKey(), call.units() + othersUnits, Double::sum));
      }
      rejectedInPeak = tick == 300 ? host.rejected.size() : rejectedInPeak;
    }
    assertTrue(rejectedInPeak > 0, "requests are rejected during the peak");
    assertEquals(1, host.attemptsOf(last).size(), "admitted when the quota has refilled");
  }

  @Test
  void admissionOfAnUnknownCustomerDependsOnTheCounterTotal() {
    for (double othersUnits : new double[] {0, 100}) {
      SimulatedHost host = new SimulatedHost(PLAN, 300, 0).withEndpoints(20);
      host.advance(PER_SECOND);
      String id = host.request(IDEMPOTENT, 0, 7, 2, host.nowNanos + 3 * PER_SECOND);
      assertEquals(0, host.attempts.size(), "deferred until the total is known");
      SimulatedHost.CounterCall call = host.counterCalls.get(0);
      host.answerCounterCall(call, call.units() + othersUnits);
      assertEquals(othersUnits > 0 ? 0 : 1, host.attemptsOf(id).size());
      assertEquals(othersUnits > 0 ? 1 : 0, host.rejected.size());
    }
  }

  @Test
  void aCounterCallThatNeverEndsDoesNotBlockItsRequest() {
    SimulatedHost host = new SimulatedHost(PLAN, 3, 0).withEndpoints(20);
    host.advance(PER_SECOND);
    String id = host.request(IDEMPOTENT, 1);
    host.advance(200 * PER_MILLI);
    assertEquals(1, host.attemptsOf(id).size());
  }

  /** If rejected units counted as unreported use, the others' use would be overestimated. */
  @Test
  void rejectedRequestsOfOneCustomerDoNotRaiseTheEstimatedUseOfAnother() {
    SimulatedHost host = new SimulatedHost(PLAN, 3, 0).withEndpoints(20);
    for (int i = 0; i < 400; i++) {
      host.request(IDEMPOTENT, 0, 1, 1, host.nowNanos + 900 * PER_MILLI);
      answerWithOthersUse(host, 0);
      host.advance(10 * PER_MILLI);
    }
    assertTrue(host.rejected.size() > 200, "customer 1 is far beyond its quota");
    int before = host.rejected.size();
    for (int i = 0; i < 10; i++) {
      host.request(IDEMPOTENT, 0, 2, 1, host.nowNanos + 900 * PER_MILLI);
      // The other gateways have used 9 units of 30.
      answerWithOthersUse(host, 9);
    }
    assertEquals(before, host.rejected.size(), "at most 19 of the 30 units of customer 2 are used");
  }

  private static void answerWithOthersUse(SimulatedHost host, double othersUnits) {
    for (SimulatedHost.CounterCall call : host.takeCounterCalls()) {
      host.answerCounterCall(call, call.units() + othersUnits);
    }
  }
}
