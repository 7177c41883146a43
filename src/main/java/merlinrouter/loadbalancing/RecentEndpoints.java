package merlinrouter.loadbalancing;

import java.util.Collection;

/**
 * The endpoints of the most recent successful attempts and health checks; a health check counts
 * whatever its outcome.
 */
final class RecentEndpoints {
  private static final int CAPACITY = 6;

  private final EndpointTracker[] trackers = new EndpointTracker[CAPACITY];
  private int nextIndex;

  void record(EndpointTracker tracker) {
    trackers[nextIndex] = tracker;
    nextIndex = (nextIndex + 1) % CAPACITY;
  }

  /** Adds the recent endpoints that take requests; one that was recorded repeatedly repeats. */
  void addReadyTo(Collection<EndpointTracker> target) {
    for (EndpointTracker tracker : trackers) {
      if (tracker != null && tracker.isReady()) {
        target.add(tracker);
      }
    }
  }
}
