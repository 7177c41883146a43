package merlinrouter.quota;

/**
 * For one plan, the units that this gateway admitted and those of them that it reported to the
 * counter, both with exponential forgetting.
 */
final class PlanUsage {
  /** Weight of the past at each admission. */
  private static final double FORGETTING_FACTOR = 0.99;

  private final double smoothingUnits;
  private double admittedUnits;
  private double reportedUnits;

  /** Creates an empty record; the largest request sets how fast the fraction becomes known. */
  PlanUsage(double maxRequestUnits) {
    smoothingUnits = 2 * maxRequestUnits;
  }

  /**
   * Adds admitted units. Units that are given back reduce the admitted ones without forgetting:
   * counted as use they would make the others' use look many times as large.
   */
  void recordAdmitted(double units) {
    boolean used = units > 0;
    admittedUnits = (used ? FORGETTING_FACTOR : 1) * admittedUnits + units;
    reportedUnits *= used ? FORGETTING_FACTOR : 1;
  }

  /** Adds reported units; negative where a report had no effect. */
  void recordReported(double units) {
    reportedUnits += units;
  }

  /** The reported fraction of the admitted units; 1 before anything was admitted. */
  double reportedFraction() {
    return (Math.max(0, reportedUnits) + smoothingUnits) / (admittedUnits + smoothingUnits);
  }
}
