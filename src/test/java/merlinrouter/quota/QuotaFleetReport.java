package merlinrouter.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import merlinrouter.quota.SimulatedQuotaFleet.Customer;
import merlinrouter.quota.SimulatedQuotaFleet.Result;

/** Prints how far the admissions of simulated fleets differ from exact token buckets. */
final class QuotaFleetReport {
  private static final int[] GATEWAYS = {4, 24, 96};
  private static final double[] USE_FACTORS = {0.3, 1, 3, 10};
  private static final double SECONDS = 25;
  private static final double CALLS_PER_SECOND_AND_GATEWAY = 10;
  private static final double MIN_CALLS_PER_SECOND = 240;
  private static final int SEEDS = 6;

  private QuotaFleetReport() {}

  public static void main(String[] arguments) {
    for (int gateways : GATEWAYS) {
      for (double useFactor : USE_FACTORS) {
        print("steady", gateways, useFactor, customers(gateways, useFactor, false));
        print("bursty", gateways, useFactor, customers(gateways, useFactor, true));
      }
    }
    for (int gateways : GATEWAYS) {
      for (double callsPerSecond : new double[] {6, 10, 20}) {
        mixed(gateways, callsPerSecond * gateways);
      }
    }
  }

  private static List<Customer> customers(int gateways, double useFactor, boolean bursts) {
    SplittableRandom random = new SplittableRandom(gateways);
    List<Customer> customers = new ArrayList<>();
    for (int plan = 0; plan < CustomerPopulation.PLANS.size(); plan++) {
      double rate = useFactor * CustomerPopulation.PLANS.get(plan).unitsPerSecond();
      for (int i = 0; i < gateways; i++) {
        DoubleUnaryOperator requestRate =
            bursts ? CustomerPopulation.bursts(random, rate, 0) : CustomerPopulation.steady(rate);
        customers.add(new Customer(plan, requestRate));
      }
    }
    return customers;
  }

  private static void print(String kind, int gateways, double useFactor, List<Customer> customers) {
    double capacity = Math.max(MIN_CALLS_PER_SECOND, CALLS_PER_SECOND_AND_GATEWAY * gateways);
    SimulatedQuotaFleet fleet =
        new SimulatedQuotaFleet(CustomerPopulation.PLANS, gateways, capacity, 0, 1);
    System.out.printf(
        "%d gateways, %s traffic at %.1f of the quota: %s%n",
        gateways, kind, useFactor, fleet.run(customers, SECONDS));
  }

  private static void mixed(int gateways, double callsPerSecond) {
    double costRatio = 0;
    double served = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      SimulatedQuotaFleet fleet =
          new SimulatedQuotaFleet(CustomerPopulation.PLANS, gateways, callsPerSecond, 0.3, seed);
      Result result = fleet.run(CustomerPopulation.mixed(gateways, seed), SECONDS);
      costRatio += result.overQuotaCostRatio() / SEEDS;
      served += result.servedFraction() / SEEDS;
    }
    System.out.printf(
        "%d gateways, mixed traffic, counter of %.0f calls/s: over-quota cost %.3f, served %.3f%n",
        gateways, callsPerSecond, costRatio, served);
  }
}
