package merlinrouter.control;

import static merlinrouter.control.Matrices.column;

import java.util.Arrays;
import java.util.List;
import merlinrouter.stats.ClassStatistics;
import org.ejml.simple.SimpleMatrix;

/**
 * Sets the share of each request class in the gateway's throughput. In each control interval it
 * updates a linear model of throughput and inverse latency as functions of the shares, determines
 * the best outputs that are reachable according to the model, and adjusts the shares toward them by
 * the control law.
 *
 * <p>For n classes, the outputs are n throughputs, relative to the gateway's mean total throughput,
 * and n inverse latencies. The model's regressor consists of the outputs of the previous interval
 * and the shares.
 */
public final class ShareController {
  /** Minimum share of a class before the shares are scaled to sum 1, so that no class starves. */
  public static final double MIN_SHARE = 0.02;

  /**
   * Ratio of latency objective to mean latency that corresponds to an inverse latency output of 1,
   * so that outputs and shares have the same magnitude.
   */
  static final double INVERSE_LATENCY_UNIT = 10;

  /** Penalty on changes of the shares. */
  private static final double CHANGE_PENALTY = 0.3;

  /** Weight of the latest interval in the moving average of the total throughput. */
  private static final double THROUGHPUT_WEIGHT = 0.2;

  /** Observations needed before the model is used, as a multiple of the number of classes. */
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

  /** Returns the shares by class index, which sum to 1. The caller must not modify the array. */
  public double[] shares() {
    return shares;
  }

  /** Ends a control interval: updates the model and sets the shares. */
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

  /**
   * Writes the two outputs of a class. If the class had no successful attempt, they are NaN in
   * {@code observed}, and the inverse latency in {@code outputs} keeps its previous value.
   */
  private void observe(int index, double[] outputs, double[] observed) {
    ClassStatistics statistics = classes.get(index);
    int latencyIndex = classCount + index;
    boolean hasSuccesses = statistics.successes() > 0;
    outputs[index] = statistics.successes() / meanThroughput;
    if (hasSuccesses) {
      double inverseLatency =
          statistics.objectiveSeconds()
              * statistics.successes()
              / Math.max(MIN_LATENCY_SUM_SECONDS, statistics.latencySumSeconds());
      outputs[latencyIndex] = Math.min(1, inverseLatency / INVERSE_LATENCY_UNIT);
    } else {
      outputs[latencyIndex] = previousOutputs == null ? 0 : previousOutputs[latencyIndex];
    }
    observed[index] = hasSuccesses ? outputs[index] : Double.NaN;
    observed[latencyIndex] = hasSuccesses ? outputs[latencyIndex] : Double.NaN;
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
   * Replaces the fitted gains of an output by proportionality to the share of its class: a larger
   * share must raise throughput and inverse latency, so a fitted gain that is not positive is
   * noise.
   */
  private void assumeProportional(
      int output, double[] outputs, SimpleMatrix shareGain, SimpleMatrix freeResponse) {
    int classIndex = output % classCount;
    for (int j = 0; j < classCount; j++) {
      shareGain.set(output, j, j == classIndex ? outputs[output] / shares[classIndex] : 0);
    }
    freeResponse.set(output, 0, 0);
  }

  /**
   * Returns the weight matrix of the outputs: by the value of their class, and 0 for an output that
   * was not observed. The control law squares the weights, hence the root.
   */
  private SimpleMatrix outputWeights(double[] observed) {
    double maxValue =
        classes.stream().mapToDouble(ShareController::valuePerRequest).max().orElse(1);
    SimpleMatrix weights = new SimpleMatrix(2 * classCount, 2 * classCount);
    for (int i = 0; i < 2 * classCount; i++) {
      double relative =
          valuePerRequest(classes.get(i % classCount)) / Math.max(MIN_TOTAL_WEIGHT, maxValue);
      weights.set(i, i, Double.isNaN(observed[i]) ? 0 : Math.sqrt(relative));
    }
    return weights;
  }

  private static double valuePerRequest(ClassStatistics statistics) {
    return statistics.requestClass().priorityWeight() * statistics.meanPlanValue();
  }

  /** Clips shares to [MIN_SHARE, 1] and scales them to sum 1; non-finite ones become MIN_SHARE. */
  static double[] normalize(double[] shares) {
    double[] clipped = Arrays.stream(shares).map(ShareController::clip).toArray();
    double sum = Arrays.stream(clipped).sum();
    return Arrays.stream(clipped).map(share -> share / sum).toArray();
  }

  private static double clip(double share) {
    return Double.isFinite(share) ? Math.max(MIN_SHARE, Math.min(1, share)) : MIN_SHARE;
  }
}
