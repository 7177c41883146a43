package merlinrouter.quota;

import java.util.SplittableRandom;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * Quota of one customer: decides on the admission of its requests and reports its use to the shared
 * counter. Plan and number of gateways are those of the customer's first request.
 */
final class QuotaAccount {
  /** Interval between reports of use while less than half of the quota is left. */
  static final long REPORT_INTERVAL_NANOS = Nanos.PER_SECOND / 4;

  /** Interval between reports of use while at least half of the quota is left. */
  private static final long RELAXED_REPORT_INTERVAL_NANOS = Nanos.PER_SECOND;

  /** Minimum time for which an idle account is kept, in addition to two windows. */
  private static final long RETENTION_NANOS = 30 * Nanos.PER_SECOND;

  /** Unreported use up to this amount is a rounding error and is not reported. */
  private static final double MIN_REPORT_UNITS = 1e-6;

  /** Reports are rounded to millionths of a unit, so that totals of many reports stay exact. */
  private static final double MICRO_UNITS_PER_UNIT = 1e6;

  private static final double UNITS_PER_MICRO_UNIT = 1e-6;

  /**
   * A request waits for the counter only if more than this many call timeouts remain until its
   * latency objective.
   */
  private static final int MIN_CALL_TIMEOUTS_LEFT = 2;

  /**
   * Priority of a report, as a fraction of that of a call for the customer's latest request:
   * unreported use distorts the estimates of the other gateways as much as a missing total distorts
   * this one's, but a report can wait.
   */
  private static final double REPORT_PRIORITY_FACTOR = 0.5;

  private final QuotaContext context;
  private final EventClock clock;
  private final long customer;
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
    customer = firstRequest.customer();
    plan = settings.quotaPlans().get(firstRequest.planIndex());
    gateways = Math.max(1, Math.min(firstRequest.gatewaySpread(), settings.gatewayCount()));
    sharesCounter = gateways > 1 && settings.counter().present();
    callPriority = new CounterCallPriority(plan, gateways, settings.gatewayCount());
    estimate =
        new FleetQuotaEstimate(
            plan, gateways, settings.counter().maxRequestUnits(), hash(customer), clock);
    hardLimit = new HardLimitBucket(plan, gateways);
    // The hard limit's bucket counts as empty at the start of the gateway and has refilled since.
    refilledAtNanos = context.startedAtNanos();
    // The first report is due at a random time: simultaneous reports would overload the counter.
    reportDueAtNanos = clock.nowNanos() + context.random().nextLong(REPORT_INTERVAL_NANOS);
  }

  /** Maps consecutive numbers to values that are spread over the range of long. */
  private static long hash(long number) {
    return new SplittableRandom(number).nextLong();
  }

  QuotaPlan plan() {
    return plan;
  }

  /**
   * Decides on a request. A request over the hard limit is rejected immediately. If the decision
   * needs a newer total, and both the latency objective and the rate limiter allow a call to the
   * counter, the units are reported first and the decision is based on the counter's total;
   * otherwise it is made immediately.
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

  /** Returns whether a decision needs a newer total, and the counter can provide one. */
  private boolean needsCounterTotal() {
    return plan.unitsPerSecond() > 0
        && !forwardsOverQuota()
        && estimate.needsTotal()
        && sharesCounter
        && !context.calls().isCounterSilent();
  }

  /** Returns whether requests over the quota earn more than forwarding them costs. */
  private boolean forwardsOverQuota() {
    return plan.overQuotaValue() > plan.overQuotaCost();
  }

  private boolean canWaitForCounter(QuotaReservation reservation) {
    long neededNanos = MIN_CALL_TIMEOUTS_LEFT * context.settings().counter().timeoutNanos();
    return clock.nowNanos() + neededNanos < reservation.objectiveAtNanos();
  }

  /** Returns whether a recent total and the projection since then show an exhausted quota. */
  private boolean isProbablyExhausted() {
    return estimate.isReliable() && estimate.availableUnits() < 0;
  }

  private void decideWithoutTotal(QuotaReservation reservation) {
    estimate.divideIfStale();
    boolean quotaLeft = !isUnverifiableRetry(reservation) && coversOthersExpectedUse();
    decide(reservation, quotaLeft);
  }

  /**
   * Returns whether the quota is divided and a request is a retry whose units exceed this gateway's
   * equal share of the burst: it was rejected before, and only a total could show that the quota is
   * unused.
   */
  private boolean isUnverifiableRetry(QuotaReservation reservation) {
    return estimate.isDivided()
        && reservation.request().retry()
        && plan.burstUnits() / gateways < reservation.units();
  }

  /**
   * Returns whether the available units cover the expected use of the other gateways until the next
   * total.
   */
  private boolean coversOthersExpectedUse() {
    return estimate.availableUnits() >= estimate.expectedOthersUnits(REPORT_INTERVAL_NANOS);
  }

  /**
   * Decides on a request whose units have been taken. A request over the quota returns the units of
   * the quota and keeps those of the hard limit.
   *
   * @param quotaLeft whether the quota is sufficient for the request's units
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

  /**
   * Takes units from the quota and schedules their report; negative units are given back. Does
   * nothing if the plan has no quota.
   */
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
   * Reports unreported use if a report is due and a call may be made. Use that is older than a
   * window, or that is not shared with other gateways through a counter, is discarded instead.
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
    boolean quotaLow = estimate.availableUnits() < plan.burstUnits() / 2;
    reportDueAtNanos =
        clock.nowNanos() + (quotaLow ? REPORT_INTERVAL_NANOS : RELAXED_REPORT_INTERVAL_NANOS);
    unreportedUnits = 0;
    callsInFlight++;
    long counterKey = hash(hash(customer) + window) >>> 1;
    CounterCall call = new CounterCall(this, window, units, reservation, clock.nowNanos());
    context.calls().start(counterKey, call, 2 * estimate.windowNanos());
  }

  /** Updates the estimate by a call that ended, and decides on the request that waited for it. */
  void callEnded(CounterCall call, Outcome outcome, double total) {
    callsInFlight--;
    try {
      updateEstimate(call, outcome, total);
    } finally {
      decideAfterCall(call, outcome == Outcome.OK);
    }
  }

  private void updateEstimate(CounterCall call, Outcome outcome, double total) {
    boolean currentWindow = estimate.isCurrentWindow(call.window());
    if (outcome.provesNotExecuted()) {
      unreportedUnits += call.units();
      planUsage.recordReported(-call.units());
      context.accountsToReport().add(this);
    } else if (currentWindow) {
      // Without an answer the units may have been added; if not, the next total shows lost counts.
      estimate.recordOwnReported(call.units());
    }
    refill();
    if (outcome == Outcome.OK && currentWindow) {
      estimate.applyTotal(call.units(), total, unreportedUnits, planUsage.reportedFraction());
    }
  }

  /**
   * Decides on the request that waits for a call, unless it has been decided already. A request
   * whose client has disconnected is only reported to the listener.
   */
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
        // The other gateways count the units reported for it as use until they are taken back.
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
   * Returns whether one more request may be in flight. The number in flight at other gateways is
   * unknown, so the plan's limit is divided among the gateways, with at least one for each.
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

  /** Returns whether the customer has neither an open request nor a call to the counter. */
  boolean isIdle() {
    return openRequests + callsInFlight == 0;
  }

  /**
   * Returns whether a new account would hold the same information. Such accounts are dropped,
   * because many customers send requests only once.
   */
  boolean isDisposable() {
    long idleNanos = clock.nanosSince(Math.max(lastUsedAtNanos, estimate.totalAtNanos()));
    if (!isIdle()
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
