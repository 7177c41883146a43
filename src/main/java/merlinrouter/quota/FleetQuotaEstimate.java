package merlinrouter.quota;

import merlinrouter.settings.QuotaPlan;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * This gateway's estimate of the units that are available of a customer's quota over the whole
 * fleet: a token bucket from which both its own use and the projected use of the other gateways are
 * taken. Totals of the shared counter correct the projection.
 *
 * <p>Use is counted in windows: each window of a customer has its own key at the counter, so that a
 * total covers recent use only.
 */
final class FleetQuotaEstimate {
  /** Number of totals per window that keep the estimate recent enough for decisions. */
  private static final int TOTALS_PER_WINDOW = 4;

  /** Lower bound on a window, which is otherwise the time in which the full burst refills. */
  private static final long MIN_WINDOW_SECONDS = 1;

  /** Upper bound on a window. */
  private static final long MAX_WINDOW_SECONDS = 30;

  /** Time constant of the estimated rate of the other gateways, in seconds. */
  private static final double OTHERS_RATE_TIME_CONSTANT_SECONDS = 3;

  /** Lower bound on the time over which a rate is computed; shorter times are too inaccurate. */
  private static final double MIN_RATE_SECONDS = 0.05;

  /** Bound on the measured rate of the other gateways, as a multiple of the quota's rate. */
  private static final double MAX_OTHERS_RATE_FACTOR = 2;

  /** Lower bound on the reported fraction, by which the use shown by a total is divided. */
  private static final double MIN_REPORTED_FRACTION = 0.1;

  /** A total below this gateway's reported units by more than this shows a loss of counts. */
  private static final double MAX_ROUNDING_ERROR_UNITS = 1e-3;

  private final QuotaPlan plan;
  private final int gateways;
  private final double maxRequestUnits;
  private final EventClock clock;
  private final long windowNanos;
  private final long windowPhaseNanos;
  private long window = Long.MIN_VALUE;
  private double ownWindowUnits;
  private double othersWindowUnits;
  private double availableUnits;
  private double othersUnitsPerSecond;
  private double othersUnitsSinceTotal;
  private long totalAtNanos;
  private boolean divided;

  /**
   * Creates an estimate of a full quota.
   *
   * @param windowPhaseSeed determines the phase of the windows, so that the windows of different
   *     customers start at different moments
   */
  FleetQuotaEstimate(
      QuotaPlan plan,
      int gateways,
      double maxRequestUnits,
      long windowPhaseSeed,
      EventClock clock) {
    this.plan = plan;
    this.gateways = gateways;
    this.maxRequestUnits = maxRequestUnits;
    this.clock = clock;
    availableUnits = plan.burstUnits();
    double refillSeconds =
        plan.unitsPerSecond() > 0 ? plan.burstUnits() / plan.unitsPerSecond() : 1;
    // Unless a bound applies, one burst refills in a window, so the window's total is sufficient
    // for a gateway that has not received requests of the customer before.
    windowNanos =
        (long)
            (Math.min(MAX_WINDOW_SECONDS, Math.max(MIN_WINDOW_SECONDS, refillSeconds))
                * Nanos.PER_SECOND);
    windowPhaseNanos = Math.floorMod(windowPhaseSeed, windowNanos);
    totalAtNanos = clock.nowNanos() - 2 * windowNanos;
  }

  /** Adds the refill of a time span and subtracts the projected use of the other gateways. */
  void refill(double seconds) {
    double others = seconds * projectedOthersRate();
    othersUnitsSinceTotal += others;
    availableUnits =
        Math.min(plan.burstUnits(), availableUnits + seconds * plan.unitsPerSecond() - others);
  }

  /**
   * Returns the projected rate of the other gateways, at most the quota's rate. While the quota is
   * divided, each is assumed to use its equal share of the rate.
   */
  private double projectedOthersRate() {
    if (divided) {
      return plan.unitsPerSecond() * (1 - 1.0 / gateways);
    }
    return Math.min(plan.unitsPerSecond(), othersUnitsPerSecond);
  }

  /** Takes units that this gateway uses; negative units are given back. */
  void take(double units) {
    availableUnits -= units;
  }

  /** Switches to the counter's current window and returns its number. */
  long advanceToCurrentWindow() {
    long current = Math.floorDiv(clock.nowNanos() + windowPhaseNanos, windowNanos);
    if (current != window) {
      ownWindowUnits = 0;
      othersWindowUnits = 0;
    }
    window = current;
    return current;
  }

  /** Returns whether a window is the one that was switched to last. */
  boolean isCurrentWindow(long number) {
    return number == window;
  }

  /** Records units of this gateway that the counter has, or may have, added in this window. */
  void recordOwnReported(double units) {
    ownWindowUnits += units;
  }

  /**
   * Corrects the estimate by a total of the current window.
   *
   * @param callUnits the units that were reported by the call that returned the total
   * @param total the counter's total, in units
   * @param unreportedUnits this gateway's use that has not been reported
   * @param reportedFraction the reported fraction of this gateway's use; the other gateways are
   *     assumed to report the same fraction
   */
  void applyTotal(double callUnits, double total, double unreportedUnits, double reportedFraction) {
    double othersTotal = othersTotal(callUnits, total);
    if (clock.nanosSince(totalAtNanos) > windowNanos) {
      // The estimate is outdated: a full quota less this window's use is more accurate.
      availableUnits = plan.burstUnits() - ownWindowUnits - unreportedUnits;
      othersUnitsSinceTotal = 0;
    }
    double usedByOthers =
        (othersTotal - othersWindowUnits)
            / Math.min(1, Math.max(MIN_REPORTED_FRACTION, reportedFraction));
    othersWindowUnits = othersTotal;
    divided = false;
    updateOthersRate(usedByOthers);
    // Requests forwarded over the quota take no units from it, so the true value is not far below
    // zero.
    availableUnits =
        Math.max(
            Math.min(plan.burstUnits(), availableUnits - usedByOthers + othersUnitsSinceTotal),
            -maxRequestUnits);
    othersUnitsSinceTotal = 0;
  }

  /**
   * Returns the units of a total that the other gateways reported. If the counter has lost counts,
   * only units that were added after the loss are included.
   */
  private double othersTotal(double callUnits, double total) {
    double others = total - ownWindowUnits;
    boolean countsLost =
        others < -MAX_ROUNDING_ERROR_UNITS || others < othersWindowUnits - plan.burstUnits() / 2;
    if (!countsLost) {
      return others;
    }
    ownWindowUnits = callUnits;
    othersWindowUnits = 0;
    return Math.max(0, total - callUnits);
  }

  private void updateOthersRate(double usedByOthers) {
    long windowStartNanos = window * windowNanos - windowPhaseNanos;
    double seconds =
        Math.max(MIN_RATE_SECONDS, clock.secondsSince(Math.max(totalAtNanos, windowStartNanos)));
    totalAtNanos = clock.nowNanos();
    double rate =
        Math.max(
            0, Math.min(usedByOthers / seconds, MAX_OTHERS_RATE_FACTOR * plan.unitsPerSecond()));
    double weight = 1 - Math.exp(-seconds / OTHERS_RATE_TIME_CONSTANT_SECONDS);
    othersUnitsPerSecond += weight * (rate - othersUnitsPerSecond);
  }

  /**
   * Divides the quota among the gateways if the last total is outdated. The share is at least the
   * largest request, as far as available: a smaller share would reject all requests of customers
   * with little traffic.
   */
  void divideIfStale() {
    if (gateways <= 1 || isReliable()) {
      return;
    }
    if (!divided && availableUnits > 0) {
      availableUnits =
          Math.max(availableUnits / gateways, Math.min(availableUnits, maxRequestUnits));
    }
    divided = true;
  }

  /** Returns whether the quota is divided for lack of a recent total. */
  boolean isDivided() {
    return divided;
  }

  /** Returns whether the last total is recent enough for the estimate: at most one window old. */
  boolean isReliable() {
    return clock.nanosSince(totalAtNanos) <= windowNanos;
  }

  /** Returns whether the last total is so old that a reliable decision needs a new one. */
  boolean needsTotal() {
    return clock.nanosSince(totalAtNanos) > windowNanos / TOTALS_PER_WINDOW;
  }

  double availableUnits() {
    return availableUnits;
  }

  /** Returns the units that the other gateways are expected to use in a time span. */
  double expectedOthersUnits(long nanos) {
    return othersUnitsPerSecond * nanos * Nanos.IN_SECONDS;
  }

  /**
   * Returns when the last total was applied; before the first one, a time two windows before the
   * estimate was created.
   */
  long totalAtNanos() {
    return totalAtNanos;
  }

  long windowNanos() {
    return windowNanos;
  }
}
