package merlinrouter.queue;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.stats.ClassStatistics;

/**
 * Start-time fair queueing over the request classes: each class gets its share of the releases, and
 * a class that waits for nothing leaves its share to the others.
 *
 * @param <R> the type of the requests
 */
public final class FairQueue<R extends QueuedRequest> {
  private final List<ClassQueue<R>> queues;
  private double virtualTime;

  /** Creates an empty queue for each class; the shares have to be set before a release. */
  public FairQueue(List<ClassStatistics> classes) {
    List<ClassQueue<R>> created = new ArrayList<>();
    for (ClassStatistics statistics : classes) {
      created.add(new ClassQueue<>(statistics));
    }
    queues = List.copyOf(created);
  }

  /** The queues by class. */
  public List<ClassQueue<R>> queues() {
    return queues;
  }

  /** Sets the shares by class. */
  public void setShares(double[] shares) {
    for (int i = 0; i < shares.length; i++) {
      queues.get(i).setShare(shares[i]);
    }
  }

  /** The start tag of the last release. */
  public double virtualTime() {
    return virtualTime;
  }

  /**
   * The queue whose first startable request has the least start tag; null if no request may start.
   */
  public ClassQueue<R> next() {
    ClassQueue<R> next = null;
    double leastTag = 0;
    for (ClassQueue<R> queue : queues) {
      R first = queue.firstStartable();
      if (first != null) {
        double tag = queue.startTag(first);
        if (next == null || tag < leastTag) {
          next = queue;
          leastTag = tag;
        }
      }
    }
    return next;
  }

  /** Releases the first startable request of a queue. */
  public void release(ClassQueue<R> queue, R request) {
    double startTag = queue.startTag(request);
    queue.remove(request);
    virtualTime = startTag;
    queue.setFinishTag(startTag + 1 / queue.share());
  }
}
