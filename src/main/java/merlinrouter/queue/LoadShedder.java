package merlinrouter.queue;

import merlinrouter.control.ConcurrencyController;
import merlinrouter.control.ConcurrencyLimiter;
import merlinrouter.control.ShareController;

/**
 * Sheds requests from a queue so long that, by Little's law, its last request would not be served
 * within the latency objective of the class. The least valuable request is shed first.
 *
 * @param <R> the type of the requests
 */
public final class LoadShedder<R extends QueuedRequest> {
  /** Number of mean service times that the maximum wait leaves for the attempt itself. */
  private static final double SERVICE_TIMES_RESERVED = 2;

  /** Lower bound on the maximum wait, as a fraction of the objective. */
  private static final double MIN_MAX_WAIT_FRACTION = 1.0 / 4;

  private final FairQueue<R> fairQueue;
  private final ConcurrencyController concurrencyController;
  private final ConcurrencyLimiter concurrencyLimiter;

  /** Creates a shedder for a fair queue. */
  public LoadShedder(
      FairQueue<R> fairQueue,
      ConcurrencyController concurrencyController,
      ConcurrencyLimiter concurrencyLimiter) {
    this.fairQueue = fairQueue;
    this.concurrencyController = concurrencyController;
    this.concurrencyLimiter = concurrencyLimiter;
  }

  /**
   * Removes and returns the next request to shed from a queue; null if the queue is short enough or
   * fewer attempts are in flight than the concurrency level permits.
   */
  public R pollExcess(ClassQueue<R> queue) {
    if (!concurrencyLimiter.isSaturated() || queue.size() <= 1) {
      return null;
    }
    if (queue.size() / releasesPerSecond(queue) <= maxWaitSeconds(queue)) {
      return null;
    }
    R leastValuable = queue.leastValuable();
    queue.remove(leastValuable);
    return leastValuable;
  }

  /**
   * Returns the expected releases per second of a class: its share, among the classes that have
   * queued requests, of the gateway's throughput.
   */
  private double releasesPerSecond(ClassQueue<R> queue) {
    double backloggedShares = 0;
    for (ClassQueue<R> classQueue : fairQueue.queues()) {
      backloggedShares += classQueue.isEmpty() ? 0 : classQueue.share();
    }
    return concurrencyController.level()
        / queue.statistics().meanServiceSeconds()
        * queue.share()
        / Math.max(ShareController.MIN_SHARE, backloggedShares);
  }

  private double maxWaitSeconds(ClassQueue<R> queue) {
    double objective = queue.statistics().objectiveSeconds();
    return Math.max(
        objective - SERVICE_TIMES_RESERVED * queue.statistics().meanServiceSeconds(),
        objective * MIN_MAX_WAIT_FRACTION);
  }
}
