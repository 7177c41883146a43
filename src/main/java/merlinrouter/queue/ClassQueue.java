package merlinrouter.queue;

import java.util.ArrayDeque;
import java.util.List;
import merlinrouter.stats.ClassStatistics;

/**
 * The queued requests of one class, in the order in which they were added.
 *
 * @param <R> the type of the requests
 */
public final class ClassQueue<R extends QueuedRequest> {
  private final ArrayDeque<R> requests = new ArrayDeque<>();
  private final ClassStatistics statistics;
  private double share;
  private double finishTag;

  ClassQueue(ClassStatistics statistics) {
    this.statistics = statistics;
  }

  /** Returns the statistics of the class. */
  public ClassStatistics statistics() {
    return statistics;
  }

  /** Adds a request at the end. */
  public void add(R request) {
    requests.add(request);
  }

  /** Removes a request; does nothing if it is not in this queue. */
  public void remove(R request) {
    requests.remove(request);
  }

  /** Returns the number of queued requests. */
  public int size() {
    return requests.size();
  }

  /** Returns whether the queue is empty. */
  public boolean isEmpty() {
    return requests.isEmpty();
  }

  /** Returns a copy of the queued requests, in their order. */
  public List<R> snapshot() {
    return List.copyOf(requests);
  }

  /** Returns the first request that may start; null if none may. */
  public R firstStartable() {
    for (R request : requests) {
      if (request.mayStart()) {
        return request;
      }
    }
    return null;
  }

  /** Returns the least valuable request, the last one among equals; null if the queue is empty. */
  R leastValuable() {
    R least = requests.peek();
    for (R request : requests) {
      if (request.value() <= least.value()) {
        least = request;
      }
    }
    return least;
  }

  double share() {
    return share;
  }

  void setShare(double newShare) {
    share = newShare;
  }

  /**
   * Returns the start tag of a request. It is not fixed at arrival, so a changed share also applies
   * to requests that are already queued.
   */
  double startTag(R request) {
    return Math.max(request.arrivalVirtualTime(), finishTag);
  }

  void setFinishTag(double newFinishTag) {
    finishTag = newFinishTag;
  }
}
