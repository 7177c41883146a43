package merlinrouter.settings;

import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;

import java.util.List;
import merlinrouter.model.DeduplicationScope;
import merlinrouter.model.Idempotency;

/** Settings for tests: request classes with every kind of idempotency, and a given quota plan. */
public final class TestSettings {
  /** Index of the class of idempotent requests. */
  public static final int IDEMPOTENT = 0;

  /** Index of the class whose duplicates are dropped in the cell of the first attempt only. */
  public static final int KEY_IN_CELL = 1;

  /** Index of the class of requests that must not be executed twice. */
  public static final int NON_IDEMPOTENT = 2;

  /** Index of the class whose duplicates are dropped by every endpoint. */
  public static final int KEY_EVERYWHERE = 3;

  /** A plan without any limit. */
  public static final QuotaPlan UNLIMITED = new QuotaPlan(0, 0, 0, 1, 0, 0, 0, 0, 0);

  private TestSettings() {}

  /** Returns a plan with a quota; a request over quota earns nothing and costs its value. */
  public static QuotaPlan quota(double unitsPerSecond, double burstUnits) {
    return new QuotaPlan(unitsPerSecond, burstUnits, 0, 1, 0, 1, 0, 0, 0);
  }

  /** Returns settings of the first gateway of a fleet, with a counter, without health checks. */
  public static GatewaySettings gateway(QuotaPlan plan, int gatewayCount) {
    return gateway(plan, gatewayCount, 0, true, false);
  }

  /** Returns settings of a gateway in a fleet with one quota plan. */
  public static GatewaySettings gateway(
      QuotaPlan plan,
      int gatewayCount,
      int gatewayNumber,
      boolean counterPresent,
      boolean healthChecks) {
    return new GatewaySettings(
        gatewayNumber,
        gatewayCount,
        0,
        PER_MILLI,
        true,
        healthChecks ? List.of("waiting") : List.of(),
        requestClasses(),
        List.of(plan),
        new RequestLimits(4, 1000, healthChecks, false, 0, false, 0),
        new CounterSettings(counterPresent, 50 * PER_MILLI, true, 4),
        new ServiceRules(10 * PER_MILLI, 0.25, 10 * PER_SECOND, 3, 2 * PER_SECOND));
  }

  /** Returns the request classes in the order of their indices. */
  public static List<RequestClass> requestClasses() {
    return List.of(
        requestClass(3, Idempotency.IDEMPOTENT, DeduplicationScope.ALL_ENDPOINTS, 0, 0, 1),
        requestClass(2, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, 700, 0.2, 4),
        requestClass(3, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL_ENDPOINTS, 0, 0.2, 3),
        requestClass(3, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL_ENDPOINTS, 700, 0, 4));
  }

  private static RequestClass requestClass(
      int deadlineSeconds,
      Idempotency idempotency,
      DeduplicationScope scope,
      int deduplicationWindowMillis,
      double lateValueFraction,
      double priorityWeight) {
    return new RequestClass(
        PER_SECOND,
        deadlineSeconds * PER_SECOND,
        idempotency,
        scope,
        deduplicationWindowMillis * PER_MILLI,
        lateValueFraction,
        priorityWeight);
  }
}
