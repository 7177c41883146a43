package merlinrouter.quota;

import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import merlinrouter.model.ClientRequest;
import merlinrouter.settings.CounterSettings;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;

/**
 * The quota managers of a fleet of gateways with one shared counter, in simulated time. Each
 * forwarded request is checked against an exact token bucket of its customer.
 */
final class SimulatedQuotaFleet {
  private static final long TIMER_INTERVAL_NANOS = 10 * PER_MILLI;
  private static final long COUNTER_TIMEOUT_NANOS = 50 * PER_MILLI;
  private static final long SERVICE_NANOS = 300 * PER_MILLI;

  /** Maximum number of retries of a rejected request by its client. */
  private static final int MAX_RETRIES = 3;

  private static final double RETRY_PROBABILITY = 0.8;
  private static final double OTHER_GATEWAY_PROBABILITY = 0.2;
  private static final long RETRY_BACKOFF_NANOS = 66 * PER_MILLI;
  private static final double MAX_RETRY_AFTER_SECONDS = 0.5;

  /** Standard deviation of the logarithm of the weights of a customer's gateways. */
  private static final double WEIGHT_DEVIATION = 1.4;

  /**
   * A customer.
   *
   * @param planIndex index of the plan
   * @param unitsPerSecond rate of new requests, of one unit each, as a function of time in seconds
   */
  record Customer(int planIndex, DoubleUnaryOperator unitsPerSecond) {}

  /** Results of a run. */
  static final class Result {
    long tries;
    long forwarded;
    long forwardedOverQuota;
    long rejected;
    long rejectedWithinQuota;
    long triesWithinQuota;
    double overQuotaCost;
    double offeredValue;
    double servedValue;
    double callsPerSecond;
    double failedCallFraction;

    /** Returns the requests forwarded over quota, as a fraction of all forwarded requests. */
    double overAdmittedFraction() {
      return forwardedOverQuota / (double) Math.max(1, forwarded);
    }

    /**
     * Returns the requests rejected within the quota according to the exact bucket, as a fraction
     * of all requests within it.
     */
    double wronglyRejectedFraction() {
      return rejectedWithinQuota / (double) Math.max(1, triesWithinQuota);
    }

    /** Returns the cost of requests over quota, as a fraction of the value offered within it. */
    double overQuotaCostRatio() {
      return overQuotaCost / offeredValue;
    }

    double servedFraction() {
      return servedValue / offeredValue;
    }

    @Override
    public String toString() {
      return String.format(
          "over-quota cost %.3f, served %.3f, over-admitted %.3f, wrongly rejected %.3f,"
              + " forwarded %d, rejected %d, counter calls/s %.0f, failed %.3f",
          overQuotaCostRatio(),
          servedFraction(),
          overAdmittedFraction(),
          wronglyRejectedFraction(),
          forwarded,
          rejected,
          callsPerSecond,
          failedCallFraction);
    }
  }

  private final List<QuotaPlan> plans;
  private final SplittableRandom random;
  private final EventQueue events = new EventQueue(PER_SECOND);
  private final SimulatedCounter counter;
  private final List<Gateway> gateways = new ArrayList<>();
  private final double shedFraction;
  private final Result result = new Result();
  private int requestCount;

  SimulatedQuotaFleet(
      List<QuotaPlan> plans,
      int gatewayCount,
      double counterCallsPerSecond,
      double shedFraction,
      long seed) {
    this.plans = plans;
    this.shedFraction = shedFraction;
    random = new SplittableRandom(seed);
    counter = new SimulatedCounter(events, counterCallsPerSecond, 2, COUNTER_TIMEOUT_NANOS);
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new Gateway(settings(gatewayCount, i), random.split()));
    }
  }

  SimulatedCounter counter() {
    return counter;
  }

  EventQueue events() {
    return events;
  }

  private GatewaySettings settings(int gatewayCount, int gatewayNumber) {
    GatewaySettings defaults =
        TestSettings.gateway(plans.get(0), gatewayCount, gatewayNumber, true, false);
    return new GatewaySettings(
        defaults.gatewayNumber(),
        defaults.gatewayCount(),
        defaults.zone(),
        defaults.eventIntervalNanos(),
        defaults.weightsMeaningful(),
        defaults.loadReportNames(),
        defaults.requestClasses(),
        plans,
        defaults.limits(),
        new CounterSettings(true, COUNTER_TIMEOUT_NANOS, false, 1),
        defaults.rules());
  }

  Result run(List<Customer> customers, double seconds) {
    for (int i = 0; i < customers.size(); i++) {
      new Traffic(i, customers.get(i), random.split()).scheduleNext();
    }
    for (Gateway gateway : gateways) {
      gateway.tick();
    }
    events.runUntil(PER_SECOND + (long) (seconds * PER_SECOND));
    result.callsPerSecond = counter.calls() / seconds;
    result.failedCallFraction = counter.failedCalls() / (double) Math.max(1, counter.calls());
    return result;
  }

  /** Exact token bucket of a customer over the whole fleet. */
  private final class ExactBucket {
    private final QuotaPlan plan;
    private double units;
    private long refilledAtNanos = events.nowNanos();

    ExactBucket(QuotaPlan plan) {
      this.plan = plan;
      units = plan.burstUnits();
    }

    boolean holds(double requested) {
      double seconds = (events.nowNanos() - refilledAtNanos) / (double) PER_SECOND;
      refilledAtNanos = events.nowNanos();
      units = Math.min(plan.burstUnits(), units + seconds * plan.unitsPerSecond());
      return units >= requested;
    }

    boolean take(double requested) {
      boolean sufficient = holds(requested);
      units -= sufficient ? requested : 0;
      return sufficient;
    }
  }

  /** Sends the requests of one customer and its retries. */
  private final class Traffic {
    private final int number;
    private final Customer customer;
    private final SplittableRandom random;
    private final QuotaPlan plan;
    private final ExactBucket forwarded;
    private final ExactBucket offered;
    private final double[] weights;
    private double weightSum;

    Traffic(int number, Customer customer, SplittableRandom random) {
      this.number = number;
      this.customer = customer;
      this.random = random;
      plan = plans.get(customer.planIndex());
      forwarded = new ExactBucket(plan);
      offered = new ExactBucket(plan);
      int spread = Math.max(1, (int) Math.ceil(gateways.size() * random.nextDouble(0.5, 1)));
      weights = new double[spread];
      for (int i = 0; i < spread; i++) {
        weights[i] = Math.exp(WEIGHT_DEVIATION * random.nextGaussian());
        weightSum += weights[i];
      }
    }

    void scheduleNext() {
      double nowSeconds = (events.nowNanos() - PER_SECOND) / (double) PER_SECOND;
      double rate = customer.unitsPerSecond().applyAsDouble(nowSeconds);
      double maxRate = 10 * plan.unitsPerSecond();
      double waitSeconds = -Math.log(1 - random.nextDouble()) / maxRate;
      events.schedule(
          events.nowNanos() + (long) (waitSeconds * PER_SECOND),
          () -> {
            scheduleNext();
            if (random.nextDouble() * maxRate < rate) {
              sendNewRequest();
            }
          });
    }

    private void sendNewRequest() {
      if (offered.take(1)) {
        result.offeredValue += plan.valueFactor();
      }
      send(randomGateway(), 0);
    }

    private int randomGateway() {
      double remainingWeight = random.nextDouble() * weightSum;
      for (int i = 0; i < weights.length; i++) {
        remainingWeight -= weights[i];
        if (remainingWeight < 0) {
          return (number * 7 + i) % gateways.size();
        }
      }
      return number * 7 % gateways.size();
    }

    private void send(int gateway, int retries) {
      result.tries++;
      if (forwarded.holds(1)) {
        result.triesWithinQuota++;
      }
      gateways.get(gateway).request(this, gateway, retries);
    }

    void rejected(int gateway, int retries, double retryAfterSeconds) {
      if (retries >= MAX_RETRIES || random.nextDouble() > RETRY_PROBABILITY) {
        return;
      }
      long waitNanos =
          Math.max(
              RETRY_BACKOFF_NANOS,
              (long) (Math.min(MAX_RETRY_AFTER_SECONDS, retryAfterSeconds) * PER_SECOND));
      boolean otherGateway = random.nextDouble() < OTHER_GATEWAY_PROBABILITY;
      int next = otherGateway ? randomGateway() : gateway;
      events.schedule(events.nowNanos() + waitNanos, () -> send(next, retries + 1));
    }
  }

  private record Pending(Traffic traffic, int gateway, int retries, QuotaReservation reservation) {}

  /** One gateway's quota manager with a minimal simulation of the rest of the gateway. */
  private final class Gateway implements AdmissionListener {
    private final EventClock clock = new EventClock(events.nowNanos());
    private final SimulatedCounter.Connection connection = counter.new Connection();
    private final GatewaySettings settings;
    private final SplittableRandom random;
    private final QuotaManager quotas;
    private final Map<String, Pending> pending = new HashMap<>();

    Gateway(GatewaySettings settings, SplittableRandom random) {
      this.settings = settings;
      this.random = random;
      quotas = new QuotaManager(settings, this, this::callCounter, line -> {}, clock, random);
    }

    void tick() {
      clock.advanceTo(events.nowNanos());
      quotas.decideOverdueAdmissions();
      quotas.reportUse();
      events.schedule(events.nowNanos() + TIMER_INTERVAL_NANOS, this::tick);
    }

    private void callCounter(long key, double units, long timeToLiveNanos) {
      connection.add(
          key,
          units,
          (outcome, total) -> {
            clock.advanceTo(events.nowNanos());
            quotas.counterCallEnded(key, outcome, total);
          });
    }

    void request(Traffic traffic, int gateway, int retries) {
      clock.advanceTo(events.nowNanos());
      String id = "r" + requestCount++;
      ClientRequest request =
          new ClientRequest(
              id,
              0,
              traffic.customer.planIndex(),
              traffic.number,
              clock.nowNanos() + 3 * PER_SECOND,
              1,
              traffic.weights.length,
              0,
              false);
      QuotaReservation reservation =
          quotas.open(request, settings.requestClasses().get(0), clock.nowNanos() + PER_SECOND);
      pending.put(id, new Pending(traffic, gateway, retries, reservation));
      quotas.admit(reservation);
    }

    @Override
    public void admitted(QuotaReservation reservation) {
      long waitNanos = (long) (random.nextDouble() * SERVICE_NANOS);
      events.schedule(events.nowNanos() + waitNanos, () -> dispatch(reservation));
    }

    private void dispatch(QuotaReservation reservation) {
      clock.advanceTo(events.nowNanos());
      Pending request = pending.remove(reservation.requestId());
      if (random.nextDouble() < shedFraction) {
        reservation.release();
        request.traffic().rejected(request.gateway(), request.retries(), 0);
        return;
      }
      reservation.markForwarded();
      result.forwarded++;
      QuotaPlan plan = request.traffic().plan;
      if (request.traffic().forwarded.take(1)) {
        result.servedValue += plan.valueFactor();
      } else {
        result.forwardedOverQuota++;
        result.overQuotaCost += plan.valueFactor() * plan.overQuotaCost();
      }
      events.schedule(
          events.nowNanos() + SERVICE_NANOS,
          () -> {
            clock.advanceTo(events.nowNanos());
            reservation.release();
          });
    }

    @Override
    public void rejected(QuotaReservation reservation, double retryAfterSeconds) {
      Pending request = pending.remove(reservation.requestId());
      result.rejected++;
      if (request.traffic().forwarded.holds(1)) {
        result.rejectedWithinQuota++;
      }
      reservation.release();
      request.traffic().rejected(request.gateway(), request.retries(), retryAfterSeconds);
    }

    @Override
    public void deferred(QuotaReservation reservation) {}

    @Override
    public void abandoned(QuotaReservation reservation) {}
  }
}
