package merlinrouter.control;

import static merlinrouter.control.Matrices.column;

import java.util.Arrays;
import java.util.List;
import merlinrouter.stats.ClassStatistics;
import org.ejml.simple.SimpleMatrix;

/**
 * Searches for the reachable outputs with the highest total utility: divides the throughput among
 * the classes in small grants, each to the class with the highest gain in utility per share. This
 * is the greedy optimizer in figure 4 of the Proteus paper, for one gateway.
 */
final class UtilityOptimizer {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final List<ClassStatistics> classes;

  UtilityOptimizer(List<ClassStatistics> classes) {
    this.classes = classes;
  }

  /**
   * Returns the reference outputs, a column vector.
   *
   * @param freeResponse the outputs that the model predicts for shares of zero
   * @param shareGain effect of the shares on the outputs
   * @param meanThroughput successful attempts per interval that correspond to a total throughput
   *     output of 1
   */
  SimpleMatrix optimize(SimpleMatrix freeResponse, SimpleMatrix shareGain, double meanThroughput) {
    return new Search(freeResponse, shareGain, meanThroughput).run();
  }

  /** A candidate grant for a class; {@code gainPerShare} is its gain in utility per share. */
  private record Grant(int classIndex, double share, double gainPerShare) {}

  /** A search with one model. */
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
      // A grant of less than one request per interval has no effect.
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

    /**
     * Returns the smallest grant that raises the utility of a class, in whole steps; one step if no
     * grant up to the remaining share does.
     */
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

    /**
     * Returns the utility of a class with an additional grant: the value of its responses in an
     * interval. Late responses count with their fraction of the value. Latencies are assumed to be
     * exponentially distributed, so that {@code 1 - exp(-objective / mean)} of the responses meet
     * the objective.
     */
    private double utility(int classIndex, double grant) {
      double[] candidate = shares.clone();
      candidate[classIndex] += grant;
      SimpleMatrix outputs = freeResponse.plus(shareGain.mult(column(candidate)));
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
