package merlinrouter.control;

import static merlinrouter.control.Matrices.column;

import java.util.Arrays;
import java.util.List;
import merlinrouter.stats.ClassStatistics;
import org.ejml.simple.SimpleMatrix;

/**
 * Finds the outputs of the highest value: hands out the shares in small grants, each to the class
 * that gains the most value from it. This is the greedy optimizer of the Proteus paper's figure 4,
 * for one gateway.
 */
final class UtilityOptimizer {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final List<ClassStatistics> classes;

  UtilityOptimizer(List<ClassStatistics> classes) {
    this.classes = classes;
  }

  /**
   * Returns the reference outputs, a column.
   *
   * @param freeResponse the outputs that the model expects with shares of zero
   * @param shareGain effect of the shares on the outputs
   * @param meanThroughput throughput of an interval that counts as 1
   */
  SimpleMatrix optimize(SimpleMatrix freeResponse, SimpleMatrix shareGain, double meanThroughput) {
    return new Search(freeResponse, shareGain, meanThroughput).run();
  }

  /** The best grant for one class. */
  private record Grant(int classIndex, double share, double gainPerShare) {}

  /** One search on one model. */
  private final class Search {
    private final SimpleMatrix freeResponse;
    private final SimpleMatrix shareGain;
    private final double meanThroughput;
    private final double step;
    private final double[] shares = new double[classes.size()];
    private final double[] utilities = new double[classes.size()];

    Search(SimpleMatrix freeResponse, SimpleMatrix shareGain, double meanThroughput) {
      this.freeResponse = freeResponse;
      this.shareGain = shareGain;
      this.meanThroughput = meanThroughput;
      // A grant smaller than one request of the interval changes nothing.
      step = Math.max(ShareController.MIN_SHARE, 1 / Math.max(1, meanThroughput));
      Arrays.fill(utilities, Double.NEGATIVE_INFINITY);
    }

    SimpleMatrix run() {
      double granted = 0;
      while (granted < 1 - ROUNDING_TOLERANCE) {
        Grant best = bestGrant(granted);
        shares[best.classIndex] += best.share;
        granted += best.share;
        utilities[best.classIndex] = utility(best.classIndex, 0);
      }
      return freeResponse.plus(shareGain.mult(column(ShareController.normalize(shares))));
    }

    private Grant bestGrant(double granted) {
      Grant best = new Grant(0, step, Double.NEGATIVE_INFINITY);
      for (int i = 0; i < shares.length; i++) {
        Grant grant = smallestUsefulGrant(i, granted);
        if (grant.gainPerShare > best.gainPerShare) {
          best = grant;
        }
      }
      return best;
    }

    /** Grows a grant until the class gains from it; one step if it never does. */
    private Grant smallestUsefulGrant(int classIndex, double granted) {
      double share = step;
      while (utility(classIndex, share) <= utilities[classIndex] && granted + share <= 1) {
        share += step;
      }
      if (granted + share > 1) {
        share = step;
      }
      double gain = utility(classIndex, share) - Math.max(0, utilities[classIndex]);
      return new Grant(classIndex, share, gain / share);
    }

    /** Value per interval of a class with an additional grant, late responses at their fraction. */
    private double utility(int classIndex, double grant) {
      double[] tried = shares.clone();
      tried[classIndex] += grant;
      SimpleMatrix outputs = freeResponse.plus(shareGain.mult(column(tried)));
      ClassStatistics statistics = classes.get(classIndex);
      double served =
          Math.min(Math.max(0, outputs.get(classIndex)) * meanThroughput, statistics.arrivals());
      double inverseLatency =
          ShareController.INVERSE_LATENCY_UNIT
              * Math.max(0, outputs.get(classes.size() + classIndex));
      double lateFraction = statistics.requestClass().lateValueFraction();
      double valuePerResponse = lateFraction + (1 - lateFraction) * (1 - Math.exp(-inverseLatency));
      return statistics.requestClass().priorityWeight()
          * statistics.meanPlanValue()
          * served
          * valuePerResponse;
    }
  }
}
