package merlinrouter.control;

import org.ejml.simple.SimpleMatrix;

/**
 * Recursive least squares with exponential forgetting for the linear model {@code y = theta * phi}.
 * All outputs share one covariance matrix.
 */
final class RecursiveLeastSquares {
  /** Factor on the weight of past observations at each update: a memory of about 50 updates. */
  private static final double FORGETTING_FACTOR = 0.98;

  /**
   * Bound on the trace of the covariance matrix, per input. Without it, forgetting would let the
   * covariance grow without limit while the inputs hardly vary.
   */
  private static final double MAX_TRACE_PER_INPUT = 100;

  private static final double INITIAL_COVARIANCE = MAX_TRACE_PER_INPUT / 10;

  private final SimpleMatrix theta;
  private SimpleMatrix covariance;
  private int updates;

  /** Creates a model whose parameters are all 0. */
  RecursiveLeastSquares(int outputs, int inputs) {
    theta = new SimpleMatrix(outputs, inputs);
    covariance = SimpleMatrix.identity(inputs).scale(INITIAL_COVARIANCE);
  }

  /**
   * Adds an observation.
   *
   * @param phi the regressor, a column vector
   * @param outputs the observed outputs; NaN for an output that was not observed, whose parameters
   *     are not changed
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

  /** Returns the outputs that the model predicts for a regressor, both column vectors. */
  SimpleMatrix predict(SimpleMatrix phi) {
    return theta.mult(phi);
  }

  /** Returns a copy of the parameters in columns {@code from} to {@code to - 1} of theta. */
  SimpleMatrix parameters(int from, int to) {
    return theta.cols(from, to).copy();
  }

  /** Returns the number of observations added. */
  int updates() {
    return updates;
  }
}
