package merlinrouter.control;

import static merlinrouter.control.Matrices.column;

import java.util.List;
import merlinrouter.stats.ClassStatistics;
import org.ejml.simple.SimpleMatrix;

/**
 * Sets the concurrency level: how many attempts may be in flight at once. The level follows the
 * slow responses of the class with the tightest latency objective, below a limit that grows with
 * the number of endpoints. A level below 1 means that the gateway pauses between attempts.
 */
public final class ConcurrencyController {
  /** Attempts in flight for each ready endpoint, over all gateways together. */
  private static final double MAX_IN_FLIGHT_PER_ENDPOINT = 6;

  /** The least limit, in attempts. */
  private static final double MIN_LIMIT = 0.25;

  /** The least level, as a fraction of the limit. */
  private static final double MIN_RELATIVE_LEVEL = 0.25;

  /** Penalty on changes of the level; above that of the shares, since this loop is the slower. */
  private static final double CHANGE_PENALTY = 0.7;

  /** Fewer samples have no meaningful upper tenth, so they are collected over more intervals. */
  private static final int MIN_SAMPLES = 30;

  /** The quantile of the service times that has to meet the objective. */
  private static final double SLOW_QUANTILE = 0.9;

  /** At least this fraction of the objective is left for service, whatever the queueing time. */
  private static final double MIN_OBJECTIVE_LEFT = 1.0 / 4;

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

  /** How many attempts may be in flight; may be below 1. */
  public double level() {
    return level;
  }

  /** Records that the level kept work back in this interval. */
  public void markSaturated() {
    saturated = true;
  }

  /** Adapts the limit to the number of ready endpoints. */
  public void endpointCountChanged(int readyEndpoints) {
    double previousLimit = limit;
    double ownLimit =
        Math.max(MIN_LIMIT, MAX_IN_FLIGHT_PER_ENDPOINT * readyEndpoints / gatewayCount);
    limit = roundAboveOne(ownLimit);
    boolean atLimit = model.updates() == 0 || level >= previousLimit;
    level = atLimit ? limit : Math.min(level, limit);
  }

  /** Ends a control interval: sets the level where there are samples enough. */
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
            // A level that kept nothing back says nothing: it returns to the limit.
            : (relativeLevel + 1) / 2;
    previousInverseLatency = inverseLatency;
    saturated = false;
    next = Double.isFinite(next) ? Math.max(MIN_RELATIVE_LEVEL, Math.min(1, next)) : 1;
    level = roundAboveOne(next * limit);
  }

  /** Fits the model on changes: a level that did not vary says nothing of its effect. */
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
    double left = Math.max(objective * MIN_OBJECTIVE_LEFT, objective - queueing);
    SimpleMatrix gain = column(levelGain(inverseLatency, relativeLevel));
    SimpleMatrix reference = column(objective / left);
    SimpleMatrix freeResponse = column(inverseLatency - gain.get(0) * relativeLevel);
    return ControlLaw.nextInputs(
            gain, column(1), CHANGE_PENALTY, reference, freeResponse, column(relativeLevel))
        .get(0);
  }

  /**
   * Effect of the level on inverse latency. More attempts in flight must slow responses down; until
   * the fit has that sign, Little's law gives the slope: latency in proportion to the level.
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
