package merlinrouter.control;

import org.ejml.simple.SimpleMatrix;

/** Helpers for small matrices. */
final class Matrices {
  private Matrices() {}

  /** Returns a column vector. */
  static SimpleMatrix column(double... values) {
    return new SimpleMatrix(values.length, 1, true, values);
  }
}
