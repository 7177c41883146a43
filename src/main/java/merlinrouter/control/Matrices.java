package merlinrouter.control;

import org.ejml.simple.SimpleMatrix;

/** Helpers to create matrices. */
final class Matrices {
  private Matrices() {}

  /** Returns a column vector. */
  static SimpleMatrix column(double... values) {
    return new SimpleMatrix(values.length, 1, true, values);
  }
}
