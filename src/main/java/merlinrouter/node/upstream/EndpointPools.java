package merlinrouter.node.upstream;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;

/**
 * The connection pools of the endpoints that are ready according to the endpoint list and reached
 * at their addresses. Used on the event loop only.
 */
final class EndpointPools {
  private final ListedEndpoints listed = new ListedEndpoints();
  private final Map<String, EndpointPool> byEndpointId = new HashMap<>();

  /** Returns the pool of an endpoint; null if it is not ready. */
  EndpointPool get(String endpointId) {
    return byEndpointId.get(endpointId);
  }

  Collection<EndpointPool> all() {
    return byEndpointId.values();
  }

  /**
   * Applies an update of the endpoint list. Pools of endpoints that are removed, draining,
   * restarted or at another address are retired.
   *
   * @param update the complete list or its changed entries
   * @param removeUnlisted whether endpoints that are not in the update are removed
   * @return the endpoints that may have changed, as {@link ListedEndpoints#update} does
   */
  List<Endpoint> update(EndpointList update, boolean removeUnlisted) {
    List<Endpoint> changes = new ArrayList<>();
    for (EndpointEntry entry : listed.update(update, removeUnlisted)) {
      changes.add(entry.endpoint());
      replacePool(entry.endpoint(), entry.address());
    }
    return changes;
  }

  private void replacePool(Endpoint endpoint, SocketAddress address) {
    boolean ready = endpoint.state() == EndpointState.READY;
    EndpointPool current = byEndpointId.get(endpoint.id());
    boolean unchanged = current != null && current.isFor(endpoint, address);
    if (current != null && (!ready || !unchanged)) {
      remove(current);
    }
    if (ready && !unchanged) {
      byEndpointId.put(endpoint.id(), new EndpointPool(endpoint, address));
    }
  }

  private void remove(EndpointPool pool) {
    pool.retire();
    byEndpointId.remove(pool.endpoint().id());
  }
}
