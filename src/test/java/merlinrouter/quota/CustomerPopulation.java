package merlinrouter.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import merlinrouter.quota.SimulatedQuotaFleet.Customer;
import merlinrouter.settings.QuotaPlan;

/** Customers of four plans: most use part of their quota, some nearly all of it, some far more. */
final class CustomerPopulation {
  /** The plans, small quotas first; a request over quota costs 0.5 to 1.2 times its value. */
  static final List<QuotaPlan> PLANS =
      List.of(
          new QuotaPlan(0.42, 2, 0, 0.45, 0, 1.2, 0, 0, 0),
          new QuotaPlan(0.96, 4, 0, 0.72, 0, 1.2, 0, 0, 0),
          new QuotaPlan(2.4, 3, 0, 1.1, 0, 1.0, 0, 0, 0),
          new QuotaPlan(7, 13, 0, 1.6, 0, 0.5, 0, 0, 0));

  /** Number of customers of each plan per gateway. */
  private static final double[] CUSTOMERS_PER_GATEWAY = {5, 1.5, 0.55, 0.25};

  /**
   * Rate of light customers, and of bursty ones between bursts, as a fraction of the quota's rate.
   */
  private static final double LIGHT_USE_FACTOR = 0.31;

  private static final double OVER_QUOTA_CUSTOMER_FRACTION = 0.075;
  private static final double BURSTY_CUSTOMER_FRACTION = 0.16;
  private static final double NEAR_QUOTA_CUSTOMER_FRACTION = 0.27;
  private static final double BURST_INTERVAL_SECONDS = 11;

  private CustomerPopulation() {}

  static List<Customer> mixed(int gatewayCount, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Customer> customers = new ArrayList<>();
    for (int plan = 0; plan < PLANS.size(); plan++) {
      for (int i = 0; i < CUSTOMERS_PER_GATEWAY[plan] * gatewayCount; i++) {
        customers.add(new Customer(plan, requestRate(random, PLANS.get(plan).unitsPerSecond())));
      }
    }
    return customers;
  }

  private static DoubleUnaryOperator requestRate(SplittableRandom random, double unitsPerSecond) {
    double kind = random.nextDouble();
    double deviation = random.nextDouble(0.8, 1.2);
    if (kind < OVER_QUOTA_CUSTOMER_FRACTION) {
      return steady(random.nextDouble(2.3, 4.2) * unitsPerSecond);
    }
    if (kind < OVER_QUOTA_CUSTOMER_FRACTION + BURSTY_CUSTOMER_FRACTION) {
      return bursts(
          random, random.nextDouble(3, 7.8) * unitsPerSecond, LIGHT_USE_FACTOR * unitsPerSecond);
    }
    boolean nearQuota =
        kind
            < OVER_QUOTA_CUSTOMER_FRACTION
                + BURSTY_CUSTOMER_FRACTION
                + NEAR_QUOTA_CUSTOMER_FRACTION;
    return steady((nearQuota ? 0.95 : LIGHT_USE_FACTOR) * deviation * unitsPerSecond);
  }

  /** Returns the request rate of a customer with steady traffic. */
  static DoubleUnaryOperator steady(double unitsPerSecond) {
    return seconds -> unitsPerSecond;
  }

  /** Returns the request rate of a customer with bursts of a few seconds at a fixed interval. */
  static DoubleUnaryOperator bursts(
      SplittableRandom random, double burstUnitsPerSecond, double otherUnitsPerSecond) {
    double burstSeconds = random.nextDouble(1, 4.9);
    double phaseSeconds = random.nextDouble() * BURST_INTERVAL_SECONDS;
    return seconds ->
        (seconds + phaseSeconds) % BURST_INTERVAL_SECONDS < burstSeconds
            ? burstUnitsPerSecond
            : otherUnitsPerSecond;
  }
}
