package merlinrouter.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.discovery.EndpointListListener;
import merlinrouter.node.discovery.EndpointStartTimes;

/**
 * Applies updates of the endpoint list: converts the endpoints' start times to the gateway's clock,
 * updates the connections to endpoints, and notifies the gateway of the resulting update. Used on
 * the event loop only.
 */
final class EndpointListUpdater implements EndpointListListener {
  private final GatewayHost host;
  private final EndpointStartTimes startTimes;
  private final NodeClock clock;

  EndpointListUpdater(GatewayHost host, EndpointStartTimes startTimes, NodeClock clock) {
    this.host = host;
    this.startTimes = startTimes;
    this.clock = clock;
  }

  @Override
  public void endpointsUpdated(EndpointList list, EndpointUpdateType type) {
    List<Endpoint> endpoints =
        host.upstreamPool().update(withMonotonicStartTimes(list), type.isWholeList());
    host.endpointsUpdated(type, endpoints);
  }

  private EndpointList withMonotonicStartTimes(EndpointList list) {
    observeClocks();
    long nowNanos = clock.nowNanos();
    List<EndpointEntry> entries = new ArrayList<>();
    Set<String> listedIds = new HashSet<>();
    for (EndpointEntry entry : list.entries()) {
      Endpoint endpoint = entry.endpoint();
      listedIds.add(endpoint.id());
      long startedAtNanos =
          startTimes.toMonotonicNanos(endpoint.id(), endpoint.startedAtNanos(), nowNanos);
      entries.add(new EndpointEntry(endpoint.withStartedAtNanos(startedAtNanos), entry.address()));
      if (endpoint.state() == EndpointState.REMOVED) {
        startTimes.forget(endpoint.id());
      }
    }
    if (list.complete()) {
      startTimes.retain(listedIds);
    }
    return new EndpointList(list.revision(), list.complete(), entries);
  }

  /** Compares the wall clock with the gateway's. Must be called often, to detect a step soon. */
  void observeClocks() {
    startTimes.observeClocks(clock.nowNanos(), NodeClock.wallNanos());
  }
}
