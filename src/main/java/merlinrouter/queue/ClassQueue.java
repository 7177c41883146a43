package merlinrouter.queue;

import java.util.ArrayDeque;
import java.util.List;
import merlinrouter.stats.ClassStatistics;

/**
 * The waiting requests of one class, in the order of their arrival.
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

  /** The measurements of the class. */
  public ClassStatistics statistics() {
    return statistics;
  }

  /** Adds a request at the end. */
  public void add(R request) {
    requests.add(request);
  }

  /** Removes a request; nothing happens if it does not wait here. */
  public void remove(R request) {
    requests.remove(request);
  }

  /** How many requests wait. */
  public int size() {
    return requests.size();
  }

  /** Whether no request waits. */
  public boolean isEmpty() {
    return requests.isEmpty();
  }

  /** A copy of the waiting requests, in their order. */
  public List<R> snapshot() {
    return List.copyOf(requests);
  }

  /** The first request that may start; null if there is none. */
  public R firstStartable() {
    for (R request : requests) {
      if (request.mayStart()) {
        return request;
      }
    }
    return null;
  }

  /** The least valuable request, the last one among equals; null if the queue is empty. */
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
   * The start tag of a request. It is computed at release, so that a changed share acts on requests
   * that wait already.
   */
  double startTag(R request) {
    return Math.max(request.arrivalVirtualTime(), finishTag);
  }

  void setFinishTag(double newFinishTag) {
    finishTag = newFinishTag;
  }
}
