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

/**
 * The endpoints that a gateway knows, as its list says, and for a while those that were removed.
 */
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
      removeUnnamed(entries);
    }
    for (Endpoint entry : entries) {
      apply(entry);
    }
    // Removed endpoints are kept for a while, and until their last attempt has ended.
    trackersById.values().removeIf(EndpointTracker::isDisposable);
    List<EndpointTracker> nowReady = new ArrayList<>();
    for (EndpointTracker tracker : trackersById.values()) {
      if (tracker.isReady()) {
        nowReady.add(tracker);
      }
    }
    ready = List.copyOf(nowReady);
  }

  private void removeUnnamed(List<Endpoint> entries) {
    Set<String> named = new HashSet<>();
    for (Endpoint entry : entries) {
      named.add(entry.id());
    }
    for (EndpointTracker tracker : trackersById.values()) {
      if (!named.contains(tracker.endpoint().id())) {
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

  /** The endpoints that take requests, in the order in which they became known. */
  List<EndpointTracker> ready() {
    return ready;
  }

  /** Returns an endpoint; null if it is not known. */
  EndpointTracker get(String id) {
    return trackersById.get(id);
  }

  /** How many endpoints are kept. */
  int size() {
    return trackersById.size();
  }
}
