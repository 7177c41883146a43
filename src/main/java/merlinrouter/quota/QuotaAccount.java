package merlinrouter.quota;

import java.util.SplittableRandom;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * The quota of one customer: decides on admission and reports use to the shared counter. Plan and
 * number of gateways are those of the customer's first request.
 */
final class QuotaAccount {
  /** How often use is reported while less than half of the quota is left. */
  static final long REPORT_INTERVAL_NANOS = Nanos.PER_SECOND / 4;

  /** How often use is reported otherwise. */
  private static final long RELAXED_REPORT_INTERVAL_NANOS = Nanos.PER_SECOND;

  /** How long an account is kept after its last use, in addition to two windows. */
  private static final long RETENTION_NANOS = 30 * Nanos.PER_SECOND;

  /** Less unreported use than this is rounding. */
  private static final double MIN_REPORT_UNITS = 1e-6;

  /** Reports are whole millionths of a unit, so that totals stay exact over many of them. */
  private static final double MICRO_UNITS_PER_UNIT = 1e6;

  private static final double UNITS_PER_MICRO_UNIT = 1e-6;

  /** Time for a call to the counter, in its timeouts, that has to be left to the objective. */
  private static final int MIN_CALL_TIMEOUTS_LEFT = 2;

  /** Unreported use misleads the others as much as a missing total, but can wait. */
  private static final double REPORT_PRIORITY_FACTOR = 0.5;

  private final QuotaContext context;
  private final EventClock clock;
  private final long key;
  private final QuotaPlan plan;
  private final PlanUsage planUsage;
  private final int gateways;
  private final boolean sharesCounter;
  private final CounterCallPriority callPriority;
  private final FleetQuotaEstimate estimate;
  private final HardLimitBucket hardLimit;
  private long refilledAtNanos;
  private long reportDueAtNanos;
  private long lastUsedAtNanos;
  private double unreportedUnits;
  private double reportPriority;
  private int requestsInFlight;
  private int openRequests;
  private int callsInFlight;

  QuotaAccount(QuotaContext context, ClientRequest firstRequest, PlanUsage planUsage) {
    GatewaySettings settings = context.settings();
    this.context = context;
    this.planUsage = planUsage;
    clock = context.clock();
    key = firstRequest.customer();
    plan = settings.quotaPlans().get(firstRequest.planIndex());
    gateways = Math.max(1, Math.min(firstRequest.gatewaySpread(), settings.gatewayCount()));
    sharesCounter = gateways > 1 && settings.counter().present();
    callPriority = new CounterCallPriority(plan, gateways, settings.gatewayCount());
    estimate =
        new FleetQuotaEstimate(
            plan, gateways, settings.counter().maxRequestUnits(), hash(key), clock);
    hardLimit = new HardLimitBucket(plan, gateways);
    refilledAtNanos = context.startedAtNanos();
    // Reports are spread in time: made at once they would overload the counter.
    reportDueAtNanos = clock.nowNanos() + context.random().nextLong(REPORT_INTERVAL_NANOS);
  }

  /** Spreads numbers that lie close together over all long values. */
  private static long hash(long number) {
    return new SplittableRandom(number).nextLong();
  }

  QuotaPlan plan() {
    return plan;
  }

  /**
   * Decides on a request at once where the estimate is recent enough; otherwise its units are
   * reported first and the counter's total decides.
   */
  void admit(QuotaReservation reservation) {
    refill();
    double units = reservation.units();
    if (hardLimit.exceededBy(units)) {
      context.listener().rejected(reservation, hardLimit.secondsUntilAvailable(units));
      return;
    }
    hardLimit.take(units);
    take(units);
    reservation.setState(QuotaReservation.State.UNDECIDED);
    double priority =
        context.calls().normalizePriority(callPriority.of(reservation, isProbablyExhausted()));
    reportPriority = priority * REPORT_PRIORITY_FACTOR;
    if (needsCounterTotal()
        && canWaitForCounter(reservation)
        && context.calls().tryAcquire(priority)) {
      reservation.setState(QuotaReservation.State.AWAITING_COUNTER);
      callCounter(reservation);
      context.listener().deferred(reservation);
    } else {
      decideWithoutTotal(reservation);
    }
  }

  /** Whether a decision without a recent total may be wrong, and a total can be had. */
  private boolean needsCounterTotal() {
    return plan.unitsPerSecond() > 0
        && !forwardsOverQuota()
        && estimate.needsTotal()
        && sharesCounter
        && !context.calls().isCounterSilent();
  }

  /** Whether requests beyond the quota earn more than forwarding them costs. */
  private boolean forwardsOverQuota() {
    return plan.overQuotaValue() > plan.overQuotaCost();
  }

  private boolean canWaitForCounter(QuotaReservation reservation) {
    long neededNanos = MIN_CALL_TIMEOUTS_LEFT * context.settings().counter().timeoutNanos();
    return clock.nowNanos() + neededNanos < reservation.objectiveAtNanos();
  }

  /** Whether a recent total and the projection since say that the quota is used up. */
  private boolean isProbablyExhausted() {
    return estimate.isReliable() && estimate.availableUnits() < 0;
  }

  private void decideWithoutTotal(QuotaReservation reservation) {
    estimate.divideIfStale();
    boolean quotaLeft = !isUnverifiableRetry(reservation) && coversOthersExpectedUse();
    decide(reservation, quotaLeft);
  }

  /**
   * Whether a request is a retry of a customer whose divided quota never holds its units: such a
   * request was rejected before, and only a total could show that the quota is unused.
   */
  private boolean isUnverifiableRetry(QuotaReservation reservation) {
    return estimate.isDivided()
        && reservation.request().retry()
        && plan.burstUnits() / gateways < reservation.units();
  }

  /** Whether the quota lasts for what the others are expected to use until the next total. */
  private boolean coversOthersExpectedUse() {
    return estimate.availableUnits() >= estimate.expectedOthersUnits(REPORT_INTERVAL_NANOS);
  }

  /**
   * Decides on a request whose units have been taken, and gives those of the quota back if it is
   * beyond it.
   *
   * @param quotaLeft whether the quota, less the request's units, is not used up
   */
  private void decide(QuotaReservation reservation, boolean quotaLeft) {
    if (plan.unitsPerSecond() <= 0 || quotaLeft) {
      reservation.setState(QuotaReservation.State.WITHIN_QUOTA);
      context.listener().admitted(reservation);
      return;
    }
    reservation.setState(QuotaReservation.State.OVER_QUOTA);
    take(-reservation.units());
    if (forwardsOverQuota()) {
      context.listener().admitted(reservation);
    } else {
      double missingUnits = reservation.units() - estimate.availableUnits();
      context.listener().rejected(reservation, missingUnits / plan.unitsPerSecond());
    }
  }

  /** Takes units from the quota, to be reported; negative units are given back. */
  void take(double units) {
    if (plan.unitsPerSecond() > 0) {
      planUsage.recordAdmitted(units);
      unreportedUnits += units;
      estimate.take(units);
      lastUsedAtNanos = clock.nowNanos();
      context.accountsToReport().add(this);
    }
  }

  /**
   * Reports use that has not been reported, if a report is due and a call may be made. Use that is
   * older than a window, or that no other gateway asks for, is not reported any more.
   */
  void reportUse() {
    if (!hasReportableUse()) {
      unreportedUnits = 0;
      context.accountsToReport().remove(this);
    } else if (clock.nowNanos() >= reportDueAtNanos && context.calls().tryAcquire(reportPriority)) {
      callCounter(null);
    }
  }

  private boolean hasReportableUse() {
    return Math.abs(unreportedUnits) > MIN_REPORT_UNITS
        && clock.nanosSince(lastUsedAtNanos) < estimate.windowNanos()
        && sharesCounter;
  }

  private void callCounter(QuotaReservation reservation) {
    long window = estimate.advanceToCurrentWindow();
    double units = Math.rint(unreportedUnits * MICRO_UNITS_PER_UNIT) * UNITS_PER_MICRO_UNIT;
    planUsage.recordReported(units);
    boolean low = estimate.availableUnits() < plan.burstUnits() / 2;
    reportDueAtNanos =
        clock.nowNanos() + (low ? REPORT_INTERVAL_NANOS : RELAXED_REPORT_INTERVAL_NANOS);
    unreportedUnits = 0;
    callsInFlight++;
    long counterKey = hash(hash(key) + window) >>> 1;
    CounterCall call = new CounterCall(this, window, units, reservation, clock.nowNanos());
    context.calls().start(counterKey, call, 2 * estimate.windowNanos());
  }

  /** Updates the estimate by a call that ended, and decides on the request that waited for it. */
  void callEnded(CounterCall call, Outcome outcome, double total) {
    callsInFlight--;
    boolean currentWindow = estimate.isCurrentWindow(call.window());
    if (outcome.provesNotExecuted()) {
      unreportedUnits += call.units();
      planUsage.recordReported(-call.units());
      context.accountsToReport().add(this);
    } else if (currentWindow) {
      // Without an answer they may have been added; if not, the next total shows a loss of counts.
      estimate.recordOwnReported(call.units());
    }
    refill();
    if (outcome == Outcome.OK && currentWindow) {
      estimate.applyTotal(call.units(), total, unreportedUnits, planUsage.reportedFraction());
    }
    decideAfterCall(call, outcome == Outcome.OK);
  }

  /** Decides on the request that waits for a call, if it still does. */
  void decideAfterCall(CounterCall call, boolean answered) {
    QuotaReservation reservation = call.reservation();
    if (reservation == null || !reservation.isAwaitingCounter()) {
      return;
    }
    if (reservation.state() == QuotaReservation.State.ABANDONED) {
      reservation.setState(QuotaReservation.State.UNDECIDED);
      context.listener().abandoned(reservation);
    } else if (answered) {
      decide(reservation, estimate.availableUnits() >= 0);
      if (reservation.state() == QuotaReservation.State.OVER_QUOTA) {
        // The others take what was reported for it for use until it is given back.
        reportDueAtNanos = clock.nowNanos();
      }
    } else {
      estimate.divideIfStale();
      decide(reservation, coversOthersExpectedUse());
    }
  }

  private void refill() {
    double seconds = clock.secondsSince(refilledAtNanos);
    refilledAtNanos = clock.nowNanos();
    estimate.refill(seconds);
    hardLimit.refill(seconds);
  }

  void requestOpened() {
    openRequests++;
  }

  /**
   * Whether one more request may be in flight. Nobody knows how many the other gateways have, so
   * the plan's limit is divided, and each gateway may have one.
   */
  boolean mayForward() {
    int max = plan.maxConcurrentRequests();
    return max <= 0 || requestsInFlight < Math.max(1, max / gateways);
  }

  void forwardStarted() {
    requestsInFlight++;
  }

  void released(QuotaReservation reservation) {
    openRequests--;
    if (reservation.isForwarded()) {
      requestsInFlight--;
      return;
    }
    if (reservation.state().holdsHardLimitUnits()) {
      hardLimit.take(-reservation.units());
    }
    if (reservation.state().holdsQuotaUnits()) {
      take(-reservation.units());
    }
  }

  /**
   * Whether a new account would know as much. Many customers come only once, so such accounts are
   * dropped.
   */
  boolean isDisposable() {
    long idleNanos = clock.nanosSince(Math.max(lastUsedAtNanos, estimate.totalAtNanos()));
    if (openRequests + callsInFlight > 0
        || idleNanos < 2 * estimate.windowNanos() + RETENTION_NANOS
        || context.accountsToReport().contains(this)) {
      return false;
    }
    refill();
    return isQuotaRefilled(idleNanos) && hardLimit.isFull();
  }

  private boolean isQuotaRefilled(long idleNanos) {
    return plan.unitsPerSecond() <= 0
        || Nanos.toSeconds(idleNanos) * plan.unitsPerSecond() >= plan.burstUnits();
  }
}
