package merlinrouter.quota;

import java.util.SplittableRandom;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/** The quota of one customer: decides on admission and reports use to the shared counter. */
final class QuotaAccount {
  /** How often use is reported while less than half of the quota is left. */
  static final long REPORT_INTERVAL_NANOS = Nanos.PER_SECOND / 4;

  /** How often use is reported otherwise. */
  private static final long RELAXED_REPORT_INTERVAL_NANOS = Nanos.PER_SECOND;

  /** How long an account is kept after its last use, beside the windows that it still counts in. */
  private static final long RETENTION_NANOS = 30 * Nanos.PER_SECOND;

  /** Less unreported use than this is rounding. */
  private static final double MIN_REPORT_UNITS = 1e-6;

  /** Reports are whole millionths of a unit, as the counter's wire carries them. */
  private static final double REPORTS_PER_UNIT = 1e6;

  private static final double REPORT_RESOLUTION_UNITS = 1e-6;

  /** A retry follows a rejection, so the total that it needs is known better. */
  private static final double RETRY_STAKE_FACTOR = 0.3;

  /** Unreported use misleads the others as much as a missing total, but can wait. */
  private static final double REPORT_STAKE_FACTOR = 0.5;

  private final QuotaContext context;
  private final EventClock clock;
  private final long key;
  private final QuotaPlan plan;
  private final PlanUsage planUsage;
  private final int gateways;
  private final boolean sharesCounter;
  private final FleetQuotaEstimate estimate;
  private final HardLimitBucket hardLimit;
  private long refilledAtNanos;
  private long reportDueAtNanos;
  private long usedAtNanos;
  private double unreportedUnits;
  private double reportStake;
  private int requestsInFlight;
  private int openRequests;
  private int callsUnderWay;

  QuotaAccount(QuotaContext context, ClientRequest firstRequest, PlanUsage planUsage) {
    GatewaySettings settings = context.settings();
    this.context = context;
    this.planUsage = planUsage;
    clock = context.clock();
    key = firstRequest.customer();
    plan = settings.quotaPlans().get(firstRequest.planIndex());
    gateways = Math.max(1, Math.min(firstRequest.gatewaySpread(), settings.gatewayCount()));
    sharesCounter = gateways > 1 && settings.counter().present();
    estimate =
        new FleetQuotaEstimate(
            plan, gateways, settings.counter().maxRequestUnits(), spread(key), clock);
    hardLimit = new HardLimitBucket(plan, gateways);
    refilledAtNanos = context.startedAtNanos();
    // Reports are spread in time: made at once they would overload the counter.
    reportDueAtNanos = clock.nowNanos() + context.random().nextLong(REPORT_INTERVAL_NANOS);
  }

  /** Spreads numbers that lie close together over all long values. */
  private static long spread(long number) {
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
      context.listener().rejected(reservation, hardLimit.secondsUntil(units));
      return;
    }
    hardLimit.take(units);
    take(units);
    reservation.markUnitsTaken();
    reservation.setWithinQuota(true);
    boolean totalWanted =
        plan.unitsPerSecond() > 0
            && !forwardsBeyondQuota()
            && estimate.needsTotal()
            && sharesCounter
            && !context.calls().isCounterSilent();
    double stake = context.calls().relativeStake(stake(reservation));
    reportStake = stake * REPORT_STAKE_FACTOR;
    if (totalWanted && canWaitForCounter(reservation) && context.calls().tryAcquire(stake)) {
      reservation.setAwaitingCounter(true);
      callCounter(reservation);
      context.listener().deferred(reservation);
    } else {
      decideWithoutTotal(reservation);
    }
  }

  /** Whether requests beyond the quota earn more than forwarding them costs. */
  private boolean forwardsBeyondQuota() {
    return plan.overQuotaValue() > plan.overQuotaCost();
  }

  private boolean canWaitForCounter(QuotaReservation reservation) {
    long timeoutNanos = context.settings().counter().timeoutNanos();
    return clock.nowNanos() + 2 * timeoutNanos < reservation.objectiveAtNanos();
  }

  /** What a wrong decision would cost; highest where own traffic says least of the customer's. */
  private double stake(QuotaReservation reservation) {
    return reservation.requestClass().priorityWeight()
        * plan.valueFactor()
        * plan.overQuotaCost()
        * reservation.units()
        * gateways
        / context.settings().gatewayCount()
        * (reservation.request().retry() ? RETRY_STAKE_FACTOR : 1);
  }

  private void decideWithoutTotal(QuotaReservation reservation) {
    estimate.divideIfStale();
    boolean doubtful =
        estimate.isStale()
            && reservation.request().retry()
            && plan.burstUnits() / gateways < reservation.units();
    decide(reservation, doubtful ? Double.MAX_VALUE : othersUseBetweenReports());
  }

  /** The use of the others that the next total may show. */
  private double othersUseBetweenReports() {
    return estimate.projectedOthersUnits(REPORT_INTERVAL_NANOS);
  }

  /**
   * Decides on a request whose units have been taken.
   *
   * @param reservedUnits units that have to be left in the quota
   */
  private void decide(QuotaReservation reservation, double reservedUnits) {
    double units = reservation.units();
    boolean withinQuota = plan.unitsPerSecond() <= 0 || estimate.availableUnits() >= reservedUnits;
    reservation.setWithinQuota(withinQuota);
    if (!withinQuota) {
      take(-units);
    }
    if (withinQuota || forwardsBeyondQuota()) {
      context.listener().admitted(reservation);
    } else {
      double missingUnits = units - estimate.availableUnits();
      context.listener().rejected(reservation, missingUnits / plan.unitsPerSecond());
    }
  }

  /** Takes units from the quota, to be reported; negative units are given back. */
  void take(double units) {
    if (plan.unitsPerSecond() > 0) {
      planUsage.recordAdmitted(units);
      unreportedUnits += units;
      estimate.take(units);
      usedAtNanos = clock.nowNanos();
      context.accountsToReport().add(this);
    }
  }

  /** Reports use that has not been reported, if a report is due and a call may be made. */
  void reportUse() {
    boolean reportable =
        Math.abs(unreportedUnits) > MIN_REPORT_UNITS
            && clock.nanosSince(usedAtNanos) < estimate.windowNanos()
            && sharesCounter;
    if (!reportable) {
      unreportedUnits = 0;
      context.accountsToReport().remove(this);
    } else if (clock.nowNanos() >= reportDueAtNanos && context.calls().tryAcquire(reportStake)) {
      callCounter(null);
    }
  }

  private void callCounter(QuotaReservation reservation) {
    long window = estimate.enterCurrentWindow();
    double units = Math.rint(unreportedUnits * REPORTS_PER_UNIT) * REPORT_RESOLUTION_UNITS;
    planUsage.recordReported(units);
    boolean low = estimate.availableUnits() < plan.burstUnits() / 2;
    reportDueAtNanos =
        clock.nowNanos() + (low ? REPORT_INTERVAL_NANOS : RELAXED_REPORT_INTERVAL_NANOS);
    unreportedUnits = 0;
    callsUnderWay++;
    long counterKey = spread(spread(key) + window) >>> 1;
    CounterCall call = new CounterCall(this, window, units, reservation, clock.nowNanos());
    context.calls().start(counterKey, call, 2 * estimate.windowNanos());
  }

  /** Learns from a call that ended, and decides on the request that waited for it. */
  void callEnded(CounterCall call, Outcome outcome, double total) {
    callsUnderWay--;
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
      estimate.learnTotal(call.units(), total, unreportedUnits, planUsage.reportedFraction());
    }
    decideAfterCall(call, outcome == Outcome.OK);
  }

  /** Decides on the request that waits for a call, if it still does. */
  void decideAfterCall(CounterCall call, boolean answered) {
    QuotaReservation reservation = call.reservation();
    if (reservation == null || !reservation.isAwaitingCounter()) {
      return;
    }
    reservation.setAwaitingCounter(false);
    if (reservation.isAbandoned()) {
      context.listener().abandoned(reservation);
      return;
    }
    if (!answered) {
      estimate.divideIfStale();
    }
    decide(reservation, answered ? 0 : othersUseBetweenReports());
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
    } else if (reservation.areUnitsTaken()) {
      hardLimit.take(-reservation.units());
      if (reservation.isWithinQuota()) {
        take(-reservation.units());
      }
    }
  }

  /**
   * Whether a new account would know as much. Customers are ever new, and many come only once, so
   * such accounts are dropped.
   */
  boolean isDisposable() {
    long idleNanos = clock.nanosSince(Math.max(usedAtNanos, estimate.totalAtNanos()));
    if (openRequests + callsUnderWay > 0
        || idleNanos < 2 * estimate.windowNanos() + RETENTION_NANOS
        || context.accountsToReport().contains(this)) {
      return false;
    }
    refill();
    return Nanos.toSeconds(idleNanos) * plan.unitsPerSecond() >= plan.burstUnits()
        && hardLimit.isFull();
  }
}
