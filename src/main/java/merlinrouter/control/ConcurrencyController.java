package merlinrouter.control;

import static merlinrouter.control.Matrices.column;

import java.util.List;
import merlinrouter.stats.ClassStatistics;
import org.ejml.simple.SimpleMatrix;

/**
 * Sets the concurrency level: how many attempts may be in flight at the same time. A feedback loop
 * adjusts the level so that, in the class with the tightest latency objective, the 0.9 quantile of
 * the service times meets the objective less the mean queueing time. The level is limited in
 * proportion to the number of endpoints. At a level below 1 the gateway pauses between attempts.
 */
public final class ConcurrencyController {
  /** Limit on attempts in flight per ready endpoint, summed over all gateways. */
  private static final double MAX_IN_FLIGHT_PER_ENDPOINT = 6;

  /** Lower bound on the limit, in attempts. */
  private static final double MIN_LIMIT = 0.25;

  /** Lower bound on the level, as a fraction of the limit. */
  private static final double MIN_RELATIVE_LEVEL = 0.25;

  /** Penalty on changes of the level; higher than for shares, because this is the slower loop. */
  private static final double CHANGE_PENALTY = 0.7;

  /**
   * Samples needed for a meaningful 0.9 quantile; fewer samples are kept and added to those of the
   * next interval.
   */
  private static final int MIN_SAMPLES = 30;

  /** The quantile of the service times that must meet the objective. */
  private static final double SLOW_QUANTILE = 0.9;

  /** Least fraction of the objective that is left for service, however long the queueing time. */
  private static final double MIN_OBJECTIVE_LEFT = 1.0 / 4;

  /** Number of observations from which on the fitted gain is used. */
  private static final int MIN_OBSERVATIONS = 3;

  private final List<ClassStatistics> classes;
  private final int gatewayCount;
  private final RecursiveLeastSquares model = new RecursiveLeastSquares(1, 2);
  private double level = 1;
  private double limit = 1;
  private boolean saturated;
  private double previousInverseLatency;
  private double previousInverseLatencyChange;
  private double previousRelativeLevel;

  /**
   * Creates a controller without endpoints.
   *
   * @param gatewayCount how many gateways share the endpoints
   */
  public ConcurrencyController(List<ClassStatistics> classes, int gatewayCount) {
    this.classes = classes;
    this.gatewayCount = gatewayCount;
  }

  /** Returns how many attempts may be in flight; may be below 1. */
  public double level() {
    return level;
  }

  /** Records that the attempts in flight have reached the level since its last adjustment. */
  public void markSaturated() {
    saturated = true;
  }

  /**
   * Adapts the limit to the number of ready endpoints. The level is set to the new limit if it was
   * at the old one or the model has no observations yet; otherwise it is lowered to the new limit
   * if it exceeds it.
   */
  public void endpointCountChanged(int readyEndpoints) {
    double previousLimit = limit;
    double exactLimit =
        Math.max(MIN_LIMIT, MAX_IN_FLIGHT_PER_ENDPOINT * readyEndpoints / gatewayCount);
    limit = roundAboveOne(exactLimit);
    boolean atLimit = model.updates() == 0 || level >= previousLimit;
    level = atLimit ? limit : Math.min(level, limit);
  }

  /** Ends a control interval: adjusts the level if there are enough samples. */
  public void update() {
    ClassStatistics tightest = tightestClass();
    if (tightest != null) {
      adjustLevel(tightest);
    }
    for (ClassStatistics each : classes) {
      if (hasEnoughSamples(each)) {
        each.clearServiceSamples();
      }
    }
  }

  private ClassStatistics tightestClass() {
    ClassStatistics tightest = null;
    for (ClassStatistics each : classes) {
      boolean tighter =
          tightest == null
              || each.requestClass().latencyObjectiveNanos()
                  < tightest.requestClass().latencyObjectiveNanos();
      if (hasEnoughSamples(each) && tighter) {
        tightest = each;
      }
    }
    return tightest;
  }

  private static boolean hasEnoughSamples(ClassStatistics statistics) {
    return statistics.serviceSampleCount() >= MIN_SAMPLES;
  }

  private void adjustLevel(ClassStatistics tightest) {
    double objective = tightest.objectiveSeconds();
    double inverseLatency = objective / tightest.serviceQuantileSeconds(SLOW_QUANTILE);
    double relativeLevel = level / limit;
    observe(inverseLatency, relativeLevel);
    double next =
        saturated
            ? nextRelativeLevel(tightest, inverseLatency, relativeLevel)
            // An unsaturated level has no effect on latency: it moves halfway to the limit.
            : (relativeLevel + 1) / 2;
    previousInverseLatency = inverseLatency;
    saturated = false;
    next = Double.isFinite(next) ? Math.max(MIN_RELATIVE_LEVEL, Math.min(1, next)) : 1;
    level = roundAboveOne(next * limit);
  }

  /**
   * Fits the model to changes, from one update to the next, of the inverse latency and the level. A
   * level that was not reached or did not change gives no observation of its effect.
   */
  private void observe(double inverseLatency, double relativeLevel) {
    boolean changed = relativeLevel != previousRelativeLevel;
    if (previousInverseLatency > 0 && saturated && changed) {
      model.update(
          column(previousInverseLatencyChange, relativeLevel - previousRelativeLevel),
          inverseLatency - previousInverseLatency);
    }
    previousInverseLatencyChange =
        previousInverseLatency > 0 ? inverseLatency - previousInverseLatency : 0;
    previousRelativeLevel = relativeLevel;
  }

  private double nextRelativeLevel(
      ClassStatistics tightest, double inverseLatency, double relativeLevel) {
    double objective = tightest.objectiveSeconds();
    double queueing = tightest.queueingSumSeconds() / Math.max(1, tightest.successes());
    double serviceObjective = Math.max(objective * MIN_OBJECTIVE_LEFT, objective - queueing);
    SimpleMatrix gain = column(levelGain(inverseLatency, relativeLevel));
    SimpleMatrix reference = column(objective / serviceObjective);
    SimpleMatrix freeResponse = column(inverseLatency - gain.get(0) * relativeLevel);
    return ControlLaw.nextInputs(
            gain, column(1), CHANGE_PENALTY, reference, freeResponse, column(relativeLevel))
        .get(0);
  }

  /**
   * Returns the effect of the relative level on inverse latency. More attempts in flight must
   * increase latency, so the gain must be negative. If the fitted gain is not, or has too few
   * observations, the gain is derived from Little's law at constant throughput, by which latency is
   * proportional to the level.
   */
  private double levelGain(double inverseLatency, double relativeLevel) {
    double fitted = model.parameters(1, 2).get(0);
    boolean usable = model.updates() >= MIN_OBSERVATIONS && fitted < 0;
    return usable ? fitted : -inverseLatency / relativeLevel;
  }

  private static double roundAboveOne(double value) {
    return value > 1 ? Math.rint(value) : value;
  }
}
