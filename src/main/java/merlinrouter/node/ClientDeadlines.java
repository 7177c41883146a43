package merlinrouter.node;

import java.util.Comparator;
import java.util.TreeSet;
import merlinrouter.node.request.OpenRequest;

/**
 * The open requests that are owed a response, by the moment at which their clients stop waiting.
 * Used on the event loop only.
 */
final class ClientDeadlines {
  /** Moments of {@link System#nanoTime} can be compared by their distance from one of them. */
  private final long originNanos = System.nanoTime();

  private final TreeSet<OpenRequest> requests =
      new TreeSet<>(
          Comparator.<OpenRequest>comparingLong(
                  request -> request.timeline().clientDeadlineNanos() - originNanos)
              .thenComparing(OpenRequest::id));

  /** Adds a request; at most one with an id may be in here. */
  void add(OpenRequest request) {
    requests.add(request);
  }

  /** Removes a request, if it is in here. */
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
