package merlinrouter.quota;

import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.quota.SimulatedQuotaFleet.Customer;
import merlinrouter.quota.SimulatedQuotaFleet.Result;
import org.junit.jupiter.api.Test;

/** Compares the quotas of a simulated fleet with exact token buckets. */
class QuotaFleetTest {
  private static final int GATEWAYS = 96;
  private static final double COUNTER_CALLS_PER_SECOND = 960;

  /** Fraction of the admitted requests that is rejected later for reasons other than the quota. */
  private static final double SHED_FRACTION = 0.3;

  private static final double SECONDS = 25;
  private static final int SEEDS = 6;

  /** Target: cost of traffic over quota, as a fraction of the value offered within the quotas. */
  private static final double MAX_OVER_QUOTA_COST_RATIO = 0.12;

  /**
   * Limit for a run with a counter outage: the bound that must hold without an outage, which is
   * higher than the target {@link #MAX_OVER_QUOTA_COST_RATIO}.
   */
  private static final double MAX_OVER_QUOTA_COST_RATIO_WITH_OUTAGE = 0.19;

  private static SimulatedQuotaFleet fleet(long seed) {
    return new SimulatedQuotaFleet(
        CustomerPopulation.PLANS, GATEWAYS, COUNTER_CALLS_PER_SECOND, SHED_FRACTION, seed);
  }

  /** Guards against gateways that admit without totals although the counter is half idle. */
  @Test
  void manyCustomersOnABusyCounterStayWithinTheirQuotas() {
    double costRatio = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      costRatio +=
          fleet(seed).run(CustomerPopulation.mixed(GATEWAYS, seed), SECONDS).overQuotaCostRatio()
              / SEEDS;
    }
    assertTrue(
        costRatio <= MAX_OVER_QUOTA_COST_RATIO,
        "over-quota cost ratio is "
            + costRatio
            + ", at most "
            + MAX_OVER_QUOTA_COST_RATIO
            + " allowed");
  }

  @Test
  void customersWhoUseAThirdOfTheirQuotasAreServed() {
    List<Customer> customers = new ArrayList<>();
    for (int plan = 0; plan < CustomerPopulation.PLANS.size(); plan++) {
      double rate = CustomerPopulation.PLANS.get(plan).unitsPerSecond() / 3;
      for (int i = 0; i < GATEWAYS; i++) {
        customers.add(new Customer(plan, CustomerPopulation.steady(rate)));
      }
    }
    Result result =
        new SimulatedQuotaFleet(CustomerPopulation.PLANS, GATEWAYS, COUNTER_CALLS_PER_SECOND, 0, 1)
            .run(customers, SECONDS);
    assertTrue(result.servedFraction() >= 0.98, result.toString());
  }

  @Test
  void aCounterOutageWithLossOfTotalsCausesLittleOverAdmission() {
    SimulatedQuotaFleet fleet = fleet(1);
    fleet
        .events()
        .schedule(8 * PER_SECOND, () -> fleet.counter().setState(SimulatedCounter.State.SILENT));
    fleet
        .events()
        .schedule(
            12 * PER_SECOND,
            () -> {
              fleet.counter().loseTotals();
              fleet.counter().setState(SimulatedCounter.State.SERVING);
            });
    Result result = fleet.run(CustomerPopulation.mixed(GATEWAYS, 1), SECONDS);
    assertTrue(
        result.overQuotaCostRatio() <= MAX_OVER_QUOTA_COST_RATIO_WITH_OUTAGE, result.toString());
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    Result first = fleet(4).run(CustomerPopulation.mixed(GATEWAYS, 4), 5);
    Result second = fleet(4).run(CustomerPopulation.mixed(GATEWAYS, 4), 5);
    assertEquals(first.toString(), second.toString());
  }
}
