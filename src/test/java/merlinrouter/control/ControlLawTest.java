package merlinrouter.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

/** Tests the control law and the normalization of the resulting shares. */
class ControlLawTest {
  @Test
  void sharesMoveTowardTheReferenceAndSumToOne() {
    SimpleMatrix inputGain = SimpleMatrix.identity(2);
    SimpleMatrix previous = new SimpleMatrix(2, 1, true, 0.5, 0.5);
    SimpleMatrix reference = new SimpleMatrix(2, 1, true, 0.8, 0.2);
    SimpleMatrix next =
        ControlLaw.nextInputs(
            inputGain, SimpleMatrix.identity(2), 0.5, reference, new SimpleMatrix(2, 1), previous);
    double[] shares = ShareController.normalize(new double[] {next.get(0), next.get(1)});
    assertTrue(shares[0] > 0.5 && shares[0] < 0.8);
    assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
    double[] invalid = ShareController.normalize(new double[] {Double.NaN, -3, 7});
    assertEquals(1, Arrays.stream(invalid).sum(), 1e-9);
    assertTrue(Arrays.stream(invalid).allMatch(s -> s > 0));
  }
}
