package merlinrouter.quota;

import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.quota.SimulatedQuotaFleet.Customer;
import merlinrouter.quota.SimulatedQuotaFleet.Result;
import org.junit.jupiter.api.Test;

/** Quotas of a whole fleet against exact token buckets. */
class QuotaFleetTest {
  private static final int GATEWAYS = 96;
  private static final double COUNTER_CALLS_PER_SECOND = 960;

  /** Of the admitted requests, what is rejected afterwards for other reasons than the quota. */
  private static final double SHED_FRACTION = 0.3;

  private static final double SECONDS = 25;
  private static final int SEEDS = 6;

  /** The target of what traffic beyond the quotas costs, of the value within them. */
  private static final double MAX_OVER_QUOTA_COST_RATIO = 0.12;

  /** As much as the price may be at most where the counter is never silent. */
  private static final double MAX_OVER_QUOTA_COST_RATIO_WITH_OUTAGE = 0.19;

  private static SimulatedQuotaFleet fleet(long seed) {
    return new SimulatedQuotaFleet(
        CustomerPopulation.PLANS, GATEWAYS, COUNTER_CALLS_PER_SECOND, SHED_FRACTION, seed);
  }

  /** The counter stood half idle while gateways admitted without its totals. */
  @Test
  void manyCustomersOnABusyCounterStayWithinTheirQuotas() {
    double costRatio = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      costRatio +=
          fleet(seed).run(CustomerPopulation.mixed(GATEWAYS, seed), SECONDS).overQuotaCostRatio()
              / SEEDS;
    }
    assertTrue(costRatio <= MAX_OVER_QUOTA_COST_RATIO, "price of traffic over quota " + costRatio);
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
