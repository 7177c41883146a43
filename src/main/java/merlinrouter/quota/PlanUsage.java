package merlinrouter.quota;

/**
 * For one plan, tracks the units that this gateway admitted and the part of them that it reported
 * to the counter, both with exponential forgetting.
 */
final class PlanUsage {
  /** Factor applied to the earlier units at each admission. */
  private static final double FORGETTING_FACTOR = 0.99;

  private final double smoothingUnits;
  private double admittedUnits;
  private double reportedUnits;

  /**
   * Creates an empty record.
   *
   * @param maxRequestUnits the largest request; twice its units are added to both terms of the
   *     fraction, which keeps it close to 1 while few units have been admitted
   */
  PlanUsage(double maxRequestUnits) {
    smoothingUnits = 2 * maxRequestUnits;
  }

  /**
   * Adds admitted units. Negative units, which are given back, reduce the admitted units without
   * forgetting: if they counted as use, the reported fraction would be too low and the use of the
   * other gateways would be overestimated many times.
   */
  void recordAdmitted(double units) {
    boolean used = units > 0;
    admittedUnits = (used ? FORGETTING_FACTOR : 1) * admittedUnits + units;
    reportedUnits *= used ? FORGETTING_FACTOR : 1;
  }

  /** Adds reported units; negative units undo a report that had no effect or report a return. */
  void recordReported(double units) {
    reportedUnits += units;
  }

  /** Returns the reported fraction of the admitted units; 1 before the first admission. */
  double reportedFraction() {
    return (Math.max(0, reportedUnits) + smoothingUnits) / (admittedUnits + smoothingUnits);
  }
}
