package merlinrouter.control;

import org.ejml.simple.SimpleMatrix;

/**
 * The linear quadratic control law with a horizon of one step:
 *
 * <pre>u(k) = (B0' W'W B0 + Q'Q)^-1 (B0' W'W (yref - r) + Q'Q u(k-1))</pre>
 *
 * <p>{@code W} weights the deviation of each output from its reference; {@code Q} penalizes changes
 * of the inputs, with the same factor for all inputs.
 */
final class ControlLaw {
  private ControlLaw() {}

  /**
   * Returns the next inputs, {@code u(k)}, as a column vector.
   *
   * @param inputGain effect of the inputs on the outputs ({@code B0})
   * @param outputWeights diagonal matrix of the outputs' weights ({@code W})
   * @param changePenalty penalty on a change of an input (the diagonal elements of {@code Q})
   * @param reference the reference outputs ({@code yref})
   * @param freeResponse the outputs that the model predicts for inputs of zero ({@code r})
   * @param previous the inputs of the last interval ({@code u(k-1)})
   */
  static SimpleMatrix nextInputs(
      SimpleMatrix inputGain,
      SimpleMatrix outputWeights,
      double changePenalty,
      SimpleMatrix reference,
      SimpleMatrix freeResponse,
      SimpleMatrix previous) {
    double penalty = changePenalty * changePenalty;
    SimpleMatrix weightedGain =
        inputGain.transpose().mult(outputWeights.transpose()).mult(outputWeights);
    SimpleMatrix left =
        weightedGain
            .mult(inputGain)
            .plus(SimpleMatrix.identity(previous.getNumRows()).scale(penalty));
    return left.solve(
        weightedGain.mult(reference.minus(freeResponse)).plus(previous.scale(penalty)));
  }
}
