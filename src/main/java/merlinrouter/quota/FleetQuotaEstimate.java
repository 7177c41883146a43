package merlinrouter.quota;

import merlinrouter.settings.QuotaPlan;
import merlinrouter.time.EventClock;
import merlinrouter.time.Nanos;

/**
 * What is left of a customer's quota over the whole fleet, as this gateway estimates it: a token
 * bucket from which both its own use and the projected use of the other gateways are taken. Totals
 * of the shared counter correct the projection.
 *
 * <p>The counter counts in windows: each window of a customer has a counter of its own, so that a
 * total covers recent use only.
 */
final class FleetQuotaEstimate {
  /** As many totals in a window keep the estimate recent. */
  private static final int TOTALS_PER_WINDOW = 4;

  /** Bounds on a window: the time in which a full burst refills, within these. */
  private static final long MIN_WINDOW_SECONDS = 1;

  private static final long MAX_WINDOW_SECONDS = 30;

  /** Time constant of the estimate of the others' rate, in seconds. */
  private static final double OTHERS_RATE_TIME_CONSTANT_SECONDS = 3;

  /** Shorter times between two totals say too little of a rate. */
  private static final double MIN_RATE_SECONDS = 0.05;

  /** Bound on the estimate of the others' rate, as a multiple of the quota's rate. */
  private static final double MAX_OTHERS_RATE_FACTOR = 2;

  /** Lower bound on the reported fraction, which divides what a total shows. */
  private static final double MIN_REPORTED_FRACTION = 0.1;

  /** A total below the own use by more than this shows that the counter lost counts. */
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
   * @param windowPhaseSeed a number by which customers' windows begin at different moments
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
    // In this time a steady customer is given just one burst, so that the window's total alone
    // informs a gateway that never heard of the customer.
    windowNanos =
        (long)
            (Math.min(MAX_WINDOW_SECONDS, Math.max(MIN_WINDOW_SECONDS, refillSeconds))
                * Nanos.PER_SECOND);
    windowPhaseNanos = Math.floorMod(windowPhaseSeed, windowNanos);
    totalAtNanos = clock.nowNanos() - 2 * windowNanos;
  }

  /** Lets time pass: the quota refills, and the others are projected to go on as before. */
  void refill(double seconds) {
    double others = seconds * projectedOthersRate();
    othersUnitsSinceTotal += others;
    availableUnits =
        Math.min(plan.burstUnits(), availableUnits + seconds * plan.unitsPerSecond() - others);
  }

  /** In a divided quota the others are taken to use their equal parts of the rate. */
  private double projectedOthersRate() {
    if (divided) {
      return plan.unitsPerSecond() * (1 - 1.0 / gateways);
    }
    return Math.min(plan.unitsPerSecond(), othersUnitsPerSecond);
  }

  /** Takes units of own use; negative units are given back. */
  void take(double units) {
    availableUnits -= units;
  }

  /** Enters the counter's present window and returns its number. */
  long advanceToCurrentWindow() {
    long current = Math.floorDiv(clock.nowNanos() + windowPhaseNanos, windowNanos);
    if (current != window) {
      ownWindowUnits = 0;
      othersWindowUnits = 0;
    }
    window = current;
    return current;
  }

  /** Whether a window is the one that was entered last. */
  boolean isCurrentWindow(long number) {
    return number == window;
  }

  /** Records own units that the counter has added to the present window, or may have added. */
  void recordOwnReported(double units) {
    ownWindowUnits += units;
  }

  /**
   * Corrects the estimate by a total of the present window.
   *
   * @param callUnits the units that were reported with the call that returned the total
   * @param total the counter's total, in units
   * @param unreportedUnits own use that has not been reported
   * @param reportedFraction the reported fraction of own use; the others are assumed to report the
   *     same fraction
   */
  void applyTotal(double callUnits, double total, double unreportedUnits, double reportedFraction) {
    double othersTotal = othersTotal(callUnits, total);
    if (clock.nanosSince(totalAtNanos) > windowNanos) {
      // The estimate is too old: a full quota less this window's use is the better one.
      availableUnits = plan.burstUnits() - ownWindowUnits - unreportedUnits;
      othersUnitsSinceTotal = 0;
    }
    double usedByOthers =
        (othersTotal - othersWindowUnits)
            / Math.min(1, Math.max(MIN_REPORTED_FRACTION, reportedFraction));
    othersWindowUnits = othersTotal;
    divided = false;
    updateOthersRate(usedByOthers);
    // What was forwarded beyond the quota took nothing from it, so it is not far below zero.
    availableUnits =
        Math.max(
            Math.min(plan.burstUnits(), availableUnits - usedByOthers + othersUnitsSinceTotal),
            -maxRequestUnits);
    othersUnitsSinceTotal = 0;
  }

  /** The others' part of a total; after a loss of counts only what has been added since. */
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
   * Divides the quota among the gateways where the last total is too old. The part is at least one
   * request, since a smaller part would reject all requests of customers with little traffic.
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

  /** Whether the quota is divided for lack of a recent total. */
  boolean isDivided() {
    return divided;
  }

  /** Whether the last total still says something of what is left. */
  boolean isReliable() {
    return clock.nanosSince(totalAtNanos) <= windowNanos;
  }

  /** Whether the last total is so old that a new one is needed for a reliable decision. */
  boolean needsTotal() {
    return clock.nanosSince(totalAtNanos) > windowNanos / TOTALS_PER_WINDOW;
  }

  double availableUnits() {
    return availableUnits;
  }

  /** The units that the others are expected to use in a time. */
  double expectedOthersUnits(long nanos) {
    return othersUnitsPerSecond * nanos * Nanos.IN_SECONDS;
  }

  /** When the last total was learnt. */
  long totalAtNanos() {
    return totalAtNanos;
  }

  /** The length of a window. */
  long windowNanos() {
    return windowNanos;
  }
}
