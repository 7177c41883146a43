package merlinrouter.queue;

import merlinrouter.control.ConcurrencyController;
import merlinrouter.control.ConcurrencyLimiter;
import merlinrouter.control.ShareController;

/**
 * Shortens a queue whose last request would, by Little's law, not be served within the class's
 * latency objective. The least valuable request goes first.
 *
 * @param <R> the type of the requests
 */
public final class LoadShedder<R extends QueuedRequest> {
  /** Of the objective, this many service times are left for the attempt itself. */
  private static final double SERVICE_TIMES_RESERVED = 2;

  /** A queue may always wait for this fraction of the objective. */
  private static final double MIN_WAIT_PER_OBJECTIVE = 1.0 / 4;

  private final FairQueue<R> fairQueue;
  private final ConcurrencyController concurrency;
  private final ConcurrencyLimiter limiter;

  /** Creates a shedder for a fair queue. */
  public LoadShedder(
      FairQueue<R> fairQueue, ConcurrencyController concurrency, ConcurrencyLimiter limiter) {
    this.fairQueue = fairQueue;
    this.concurrency = concurrency;
    this.limiter = limiter;
  }

  /** Removes and returns the next request to shed from a queue; null if it is short enough. */
  public R pollExcess(ClassQueue<R> queue) {
    if (!limiter.isSaturated() || queue.size() <= 1) {
      return null;
    }
    if (queue.size() / releasesPerSecond(queue) <= maxWaitSeconds(queue)) {
      return null;
    }
    R least = queue.leastValuable();
    queue.remove(least);
    return least;
  }

  /**
   * The class's fraction of the gateway's throughput among the classes that have requests waiting.
   */
  private double releasesPerSecond(ClassQueue<R> queue) {
    double backloggedShares = 0;
    for (ClassQueue<R> each : fairQueue.queues()) {
      backloggedShares += each.isEmpty() ? 0 : each.share();
    }
    return concurrency.level()
        / queue.statistics().meanServiceSeconds()
        * queue.share()
        / Math.max(ShareController.MIN_SHARE, backloggedShares);
  }

  private double maxWaitSeconds(ClassQueue<R> queue) {
    double objective = queue.statistics().objectiveSeconds();
    return Math.max(
        objective - SERVICE_TIMES_RESERVED * queue.statistics().meanServiceSeconds(),
        objective * MIN_WAIT_PER_OBJECTIVE);
  }
}
