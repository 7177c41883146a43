package merlinrouter.queue;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.stats.ClassStatistics;

/**
 * Start-time fair queueing over the request classes: each class gets its share of the releases, and
 * the share of a class without startable requests is available to the others.
 *
 * @param <R> the type of the requests
 */
public final class FairQueue<R extends QueuedRequest> {
  private final List<ClassQueue<R>> queues;
  private double virtualTime;

  /** Creates an empty queue for each class; the shares must be set before the first release. */
  public FairQueue(List<ClassStatistics> classes) {
    List<ClassQueue<R>> created = new ArrayList<>();
    for (ClassStatistics statistics : classes) {
      created.add(new ClassQueue<>(statistics));
    }
    queues = List.copyOf(created);
  }

  /** Returns the queues, in the order of the classes. */
  public List<ClassQueue<R>> queues() {
    return queues;
  }

  /** Sets the shares, in the order of the classes. */
  public void setShares(double[] shares) {
    for (int i = 0; i < shares.length; i++) {
      queues.get(i).setShare(shares[i]);
    }
  }

  /** Returns the virtual time: the start tag of the request released last. */
  public double virtualTime() {
    return virtualTime;
  }

  /**
   * Returns the queue whose first startable request has the lowest start tag; null if no request
   * may start.
   */
  public ClassQueue<R> next() {
    ClassQueue<R> next = null;
    double lowestTag = 0;
    for (ClassQueue<R> queue : queues) {
      R first = queue.firstStartable();
      if (first != null) {
        double tag = queue.startTag(first);
        if (next == null || tag < lowestTag) {
          next = queue;
          lowestTag = tag;
        }
      }
    }
    return next;
  }

  /** Removes the first startable request of a queue; its start tag becomes the virtual time. */
  public void release(ClassQueue<R> queue, R request) {
    double startTag = queue.startTag(request);
    queue.remove(request);
    virtualTime = startTag;
    queue.setFinishTag(startTag + 1 / queue.share());
  }
}
