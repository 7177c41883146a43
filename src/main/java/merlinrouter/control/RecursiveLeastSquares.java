package merlinrouter.control;

import org.ejml.simple.SimpleMatrix;

/**
 * Recursive least squares with exponential forgetting for the linear model {@code y = theta * phi}.
 * All outputs share one covariance.
 */
final class RecursiveLeastSquares {
  /** Weight of the past at each update: a memory of about 50 updates. */
  private static final double FORGETTING_FACTOR = 0.98;

  /** Bound on the covariance's trace, per input; without it the covariance grows in quiet times. */
  private static final double MAX_TRACE_PER_INPUT = 100;

  private static final double INITIAL_COVARIANCE = MAX_TRACE_PER_INPUT / 10;

  private final SimpleMatrix theta;
  private SimpleMatrix covariance;
  private int updates;

  RecursiveLeastSquares(int outputs, int inputs) {
    theta = new SimpleMatrix(outputs, inputs);
    covariance = SimpleMatrix.identity(inputs).scale(INITIAL_COVARIANCE);
  }

  /**
   * Adds an observation.
   *
   * @param phi the inputs, a column
   * @param outputs the observed outputs; an output that is NaN keeps its parameters
   */
  void update(SimpleMatrix phi, double... outputs) {
    SimpleMatrix covariancePhi = covariance.mult(phi);
    SimpleMatrix gain = covariancePhi.divide(FORGETTING_FACTOR + phi.dot(covariancePhi));
    for (int i = 0; i < outputs.length; i++) {
      if (!Double.isNaN(outputs[i])) {
        adjustOutput(i, gain, outputs[i] - predict(phi).get(i));
      }
    }
    covariance = covariance.minus(gain.mult(covariancePhi.transpose())).divide(FORGETTING_FACTOR);
    double maxTrace = MAX_TRACE_PER_INPUT * theta.getNumCols();
    if (covariance.trace() > maxTrace) {
      covariance = covariance.scale(maxTrace / covariance.trace());
    }
    updates++;
  }

  private void adjustOutput(int output, SimpleMatrix gain, double error) {
    for (int j = 0; j < theta.getNumCols(); j++) {
      theta.set(output, j, theta.get(output, j) + gain.get(j) * error);
    }
  }

  /** Returns the outputs that the model expects for inputs, a column. */
  SimpleMatrix predict(SimpleMatrix phi) {
    return theta.mult(phi);
  }

  /** Returns a copy of the parameters of some inputs: columns {@code from} to {@code to - 1}. */
  SimpleMatrix parameters(int from, int to) {
    return theta.cols(from, to).copy();
  }

  /** How many observations were added. */
  int updates() {
    return updates;
  }
}
