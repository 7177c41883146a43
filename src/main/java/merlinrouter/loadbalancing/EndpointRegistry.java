package merlinrouter.loadbalancing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.time.EventClock;

/** The endpoints of a gateway's endpoint list, and removed endpoints for a retention period. */
final class EndpointRegistry {
  private final Map<String, EndpointTracker> trackersById = new LinkedHashMap<>();
  private final GroupStatistics groups;
  private final EventClock clock;
  private final long startedAtNanos;
  private List<EndpointTracker> ready = List.of();

  EndpointRegistry(GroupStatistics groups, EventClock clock) {
    this.groups = groups;
    this.clock = clock;
    startedAtNanos = clock.nowNanos();
  }

  /** Applies an update of the endpoint list. */
  void update(EndpointUpdateType type, List<Endpoint> entries) {
    if (type.isWholeList()) {
      markUnlistedRemoved(entries);
    }
    for (Endpoint entry : entries) {
      apply(entry);
    }
    // Removed endpoints are kept for the retention period and until their last attempt has ended.
    trackersById.values().removeIf(EndpointTracker::isDisposable);
    List<EndpointTracker> readyTrackers = new ArrayList<>();
    for (EndpointTracker tracker : trackersById.values()) {
      if (tracker.isReady()) {
        readyTrackers.add(tracker);
      }
    }
    ready = List.copyOf(readyTrackers);
  }

  private void markUnlistedRemoved(List<Endpoint> entries) {
    Set<String> listedIds = new HashSet<>();
    for (Endpoint entry : entries) {
      listedIds.add(entry.id());
    }
    for (EndpointTracker tracker : trackersById.values()) {
      if (!listedIds.contains(tracker.endpoint().id())) {
        tracker.markRemoved();
      }
    }
  }

  private void apply(Endpoint entry) {
    EndpointTracker known = trackersById.get(entry.id());
    if (entry.state() == EndpointState.REMOVED) {
      if (known != null) {
        known.markRemoved();
      }
      return;
    }
    boolean restarted =
        known == null || known.endpoint().startedAtNanos() != entry.startedAtNanos();
    if (known != null && restarted) {
      known.markReplaced();
    }
    EndpointTracker tracker =
        restarted ? new EndpointTracker(entry, groups, clock, startedAtNanos) : known;
    trackersById.put(entry.id(), tracker);
    tracker.update(entry);
  }

  /** Returns the endpoints that take requests, in the order in which they were first listed. */
  List<EndpointTracker> ready() {
    return ready;
  }

  /** Returns the tracker of an endpoint; null if none is kept. */
  EndpointTracker get(String id) {
    return trackersById.get(id);
  }

  /** Returns the number of endpoints that are kept, including removed ones. */
  int size() {
    return trackersById.size();
  }
}
