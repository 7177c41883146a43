package merlinrouter.control;

import static merlinrouter.control.Matrices.column;

import java.util.Arrays;
import java.util.List;
import merlinrouter.stats.ClassStatistics;
import org.ejml.simple.SimpleMatrix;

/**
 * Sets the share of each request class in the gateway's throughput. Once an interval it fits a
 * model of throughput and inverse latency to the shares, lets an optimizer find the best outputs
 * that the model can reach, and moves the shares toward them.
 *
 * <p>The outputs are, for n classes, n throughputs relative to the gateway's total and n inverse
 * latencies; the model's inputs are the outputs of the interval before and the shares.
 */
public final class ShareController {
  /** The least share of a class, so that none starves. */
  public static final double MIN_SHARE = 0.02;

  /** Inverse latency is objective over latency; this value counts as 1, the size of a share. */
  static final double INVERSE_LATENCY_UNIT = 10;

  /** Penalty on changes of the shares. */
  private static final double CHANGE_PENALTY = 0.3;

  /** Weight of an interval in the moving average of the total throughput. */
  private static final double THROUGHPUT_WEIGHT = 0.2;

  /** The model is used after this many observations per class. */
  private static final int MIN_OBSERVATIONS_PER_CLASS = 3;

  private static final double MIN_LATENCY_SUM_SECONDS = 1e-6;
  private static final double MIN_TOTAL_WEIGHT = 1e-9;

  private final List<ClassStatistics> classes;
  private final int classCount;
  private final RecursiveLeastSquares model;
  private final UtilityOptimizer optimizer;
  private double[] shares;
  private double[] previousOutputs;
  private double meanThroughput = 1;

  /** Creates a controller whose shares are in proportion to the classes' priority weights. */
  public ShareController(List<ClassStatistics> classes) {
    this.classes = classes;
    classCount = classes.size();
    model = new RecursiveLeastSquares(2 * classCount, 3 * classCount);
    optimizer = new UtilityOptimizer(classes);
    double[] weights =
        classes.stream().mapToDouble(each -> each.requestClass().priorityWeight()).toArray();
    double sum = Math.max(MIN_TOTAL_WEIGHT, Arrays.stream(weights).sum());
    shares = normalize(Arrays.stream(weights).map(weight -> weight / sum).toArray());
  }

  /** The shares by class, which sum to 1. Not to be changed by the caller. */
  public double[] shares() {
    return shares;
  }

  /** Ends a control interval: fits the model and sets the shares. */
  public void update() {
    int successes = 0;
    for (ClassStatistics each : classes) {
      successes += each.successes();
    }
    meanThroughput += THROUGHPUT_WEIGHT * (Math.max(1, successes) - meanThroughput);
    double[] outputs = new double[2 * classCount];
    double[] observed = new double[2 * classCount];
    for (int i = 0; i < classCount; i++) {
      observe(i, outputs, observed);
    }
    if (previousOutputs != null && successes > 0) {
      model.update(regressor(previousOutputs, shares), observed);
    }
    previousOutputs = outputs;
    if (model.updates() >= MIN_OBSERVATIONS_PER_CLASS * classCount) {
      adjustShares(outputs, observed);
    }
  }

  /** Writes the outputs of a class; what was not observed is NaN in {@code observed}. */
  private void observe(int index, double[] outputs, double[] observed) {
    ClassStatistics statistics = classes.get(index);
    int latency = classCount + index;
    boolean active = statistics.successes() > 0;
    outputs[index] = statistics.successes() / meanThroughput;
    if (active) {
      double inverse =
          statistics.objectiveSeconds()
              * statistics.successes()
              / Math.max(MIN_LATENCY_SUM_SECONDS, statistics.latencySumSeconds());
      outputs[latency] = Math.min(1, inverse / INVERSE_LATENCY_UNIT);
    } else {
      outputs[latency] = previousOutputs == null ? 0 : previousOutputs[latency];
    }
    observed[index] = active ? outputs[index] : Double.NaN;
    observed[latency] = active ? outputs[latency] : Double.NaN;
  }

  private SimpleMatrix regressor(double[] outputs, double[] inputs) {
    double[] phi = Arrays.copyOf(outputs, 3 * classCount);
    System.arraycopy(inputs, 0, phi, 2 * classCount, classCount);
    return column(phi);
  }

  private void adjustShares(double[] outputs, double[] observed) {
    SimpleMatrix shareGain = model.parameters(2 * classCount, 3 * classCount);
    SimpleMatrix freeResponse = model.predict(regressor(outputs, new double[classCount]));
    for (int i = 0; i < 2 * classCount; i++) {
      if (shareGain.get(i, i % classCount) <= 0) {
        assumeProportional(i, outputs, shareGain, freeResponse);
      }
    }
    SimpleMatrix reference = optimizer.optimize(freeResponse, shareGain, meanThroughput);
    SimpleMatrix next =
        ControlLaw.nextInputs(
            shareGain,
            outputWeights(observed),
            CHANGE_PENALTY,
            reference,
            freeResponse,
            column(shares));
    shares = normalize(next.getDDRM().getData());
  }

  /**
   * Replaces the fit of an output by proportion to its class's share: more share must raise
   * throughput and inverse latency, and a fit of the wrong sign is noise.
   */
  private void assumeProportional(
      int output, double[] outputs, SimpleMatrix shareGain, SimpleMatrix freeResponse) {
    int owner = output % classCount;
    for (int j = 0; j < classCount; j++) {
      shareGain.set(output, j, j == owner ? outputs[output] / shares[owner] : 0);
    }
    freeResponse.set(output, 0, 0);
  }

  /** Weighs the outputs by their class's value; what was not observed has no weight. */
  private SimpleMatrix outputWeights(double[] observed) {
    double maxValue = classes.stream().mapToDouble(ShareController::value).max().orElse(1);
    SimpleMatrix weights = new SimpleMatrix(2 * classCount, 2 * classCount);
    for (int i = 0; i < 2 * classCount; i++) {
      double relative = value(classes.get(i % classCount)) / Math.max(MIN_TOTAL_WEIGHT, maxValue);
      weights.set(i, i, Double.isNaN(observed[i]) ? 0 : Math.sqrt(relative));
    }
    return weights;
  }

  private static double value(ClassStatistics statistics) {
    return statistics.requestClass().priorityWeight() * statistics.meanPlanValue();
  }

  /** Clips shares to their range and scales them to sum 1; what is no number gets the least. */
  static double[] normalize(double[] shares) {
    double[] clipped = Arrays.stream(shares).map(ShareController::clip).toArray();
    double sum = Arrays.stream(clipped).sum();
    return Arrays.stream(clipped).map(share -> share / sum).toArray();
  }

  private static double clip(double share) {
    return Double.isFinite(share) ? Math.max(MIN_SHARE, Math.min(1, share)) : MIN_SHARE;
  }
}
