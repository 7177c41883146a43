package merlinrouter.loadbalancing;

import java.util.Collection;

/** The endpoints that answered last, the newest few of them. */
final class RecentEndpoints {
  private static final int CAPACITY = 6;

  private final EndpointTracker[] trackers = new EndpointTracker[CAPACITY];
  private int recorded;

  void record(EndpointTracker tracker) {
    trackers[recorded % CAPACITY] = tracker;
    recorded++;
  }

  /** Adds those that take requests. */
  void addReadyTo(Collection<EndpointTracker> target) {
    for (EndpointTracker tracker : trackers) {
      if (tracker != null && tracker.isReady()) {
        target.add(tracker);
      }
    }
  }
}
