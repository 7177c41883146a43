package merlinrouter.node;

import java.util.Comparator;
import java.util.TreeSet;
import merlinrouter.node.request.OpenRequest;

/**
 * The open requests that are still owed a response, ordered by the times at which their clients
 * stop waiting. Used on the event loop only.
 */
final class ClientDeadlines {
  /** {@link System#nanoTime} may overflow: its values are compared by their distance from this. */
  private final long originNanos = System.nanoTime();

  private final TreeSet<OpenRequest> requests =
      new TreeSet<>(
          Comparator.<OpenRequest>comparingLong(
                  request -> request.timeline().clientDeadlineNanos() - originNanos)
              .thenComparing(OpenRequest::id));

  /** Adds a request; no other one with the same id may be present. */
  void add(OpenRequest request) {
    requests.add(request);
  }

  /** Removes a request if it is present. */
  void remove(OpenRequest request) {
    requests.remove(request);
  }

  /** Removes and returns a request whose client has stopped waiting; null if there is none. */
  OpenRequest pollExpired() {
    if (requests.isEmpty()) {
      return null;
    }
    OpenRequest first = requests.first();
    if (first.timeline().clientDeadlineNanos() - System.nanoTime() > 0) {
      return null;
    }
    requests.remove(first);
    return first;
  }
}
