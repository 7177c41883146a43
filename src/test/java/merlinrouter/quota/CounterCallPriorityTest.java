package merlinrouter.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import merlinrouter.model.ClientRequest;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests the priorities of calls to the counter before decisions. */
class CounterCallPriorityTest {
  private static final QuotaPlan PLAN = TestSettings.quota(10, 30);
  private static final int GATEWAYS = 4;

  private final GatewaySettings settings = TestSettings.gateway(PLAN, GATEWAYS);
  private final QuotaManager quotas =
      new QuotaManager(
          settings,
          null,
          (key, units, timeToLiveNanos) -> {},
          line -> {},
          new EventClock(0),
          new SplittableRandom(1));

  private QuotaReservation reservation(double units, boolean retry) {
    ClientRequest request =
        new ClientRequest("r", 0, 0, 1, Long.MAX_VALUE, units, GATEWAYS, 0, retry);
    return quotas.open(request, settings.requestClasses().get(0), Long.MAX_VALUE);
  }

  @Test
  void priorityGrowsWithUnitsAndGatewaysOfTheCustomer() {
    CounterCallPriority all = new CounterCallPriority(PLAN, GATEWAYS, GATEWAYS);
    CounterCallPriority half = new CounterCallPriority(PLAN, GATEWAYS / 2, GATEWAYS);
    double priority = all.of(reservation(1, false), false);
    assertEquals(3 * priority, all.of(reservation(3, false), false), 1e-9);
    assertEquals(priority / 2, half.of(reservation(1, false), false), 1e-9);
  }

  @Test
  void aProbableRejectionAndARetryAreWorthLess() {
    CounterCallPriority priorities = new CounterCallPriority(PLAN, GATEWAYS, GATEWAYS);
    double priority = priorities.of(reservation(1, false), false);
    assertTrue(priorities.of(reservation(1, true), false) < priority);
    assertTrue(priorities.of(reservation(1, false), true) < priority);
  }
}
