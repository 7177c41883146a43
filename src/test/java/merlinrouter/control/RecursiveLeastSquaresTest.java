package merlinrouter.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

/** Tests the estimator on known linear systems. */
class RecursiveLeastSquaresTest {
  @Test
  void recoversAKnownLinearSystem() {
    double[][] parameters = {{0.5, 0.2, 1.5}, {-0.1, 0.4, 0.7}};
    RecursiveLeastSquares model = new RecursiveLeastSquares(2, 3);
    SplittableRandom random = new SplittableRandom(3);
    for (int k = 0; k < 300; k++) {
      SimpleMatrix phi =
          new SimpleMatrix(
              3, 1, true, random.nextDouble(), random.nextDouble(), random.nextDouble());
      SimpleMatrix outputs = new SimpleMatrix(parameters).mult(phi);
      model.update(phi, outputs.get(0), outputs.get(1));
    }
    SimpleMatrix unseen = new SimpleMatrix(3, 1, true, 1, 2, 3);
    SimpleMatrix truth = new SimpleMatrix(parameters).mult(unseen);
    assertEquals(truth.get(0), model.predict(unseen).get(0), 1e-3);
    assertEquals(truth.get(1), model.predict(unseen).get(1), 1e-3);
  }

  @Test
  void anOutputThatIsNotObservedKeepsItsParameters() {
    RecursiveLeastSquares model = new RecursiveLeastSquares(2, 1);
    SimpleMatrix one = new SimpleMatrix(1, 1, true, 1);
    for (int k = 0; k < 50; k++) {
      model.update(one, 2, 5);
    }
    double before = model.predict(one).get(1);
    for (int k = 0; k < 50; k++) {
      model.update(one, 2, Double.NaN);
    }
    assertEquals(before, model.predict(one).get(1));
  }
}
