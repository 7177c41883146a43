package merlinrouter.node.upstream;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;

/**
 * The pools of all endpoints that are ready, as the endpoint list has them. Used on the event loop
 * only.
 *
 * <p>An address belongs to one endpoint, the one that started there last. The endpoint that had the
 * address before is removed, whether or not discovery says so yet: under the earlier id the new
 * endpoint would be reached without its slow start and its draining being known.
 */
final class EndpointPools {
  private final Map<String, EndpointPool> byEndpointId = new HashMap<>();

  /** Owners of addresses; a search among all endpoints would make an update quadratic. */
  private final Map<SocketAddress, EndpointPool> byAddress = new HashMap<>();

  /** Returns the pool of an endpoint; null if it is not ready. */
  EndpointPool get(String endpointId) {
    return byEndpointId.get(endpointId);
  }

  Collection<EndpointPool> all() {
    return byEndpointId.values();
  }

  /**
   * Follows the endpoint list: pools of endpoints that are removed, draining, moved or restarted
   * are retired.
   *
   * @param update the list or its changed entries
   * @param complete whether endpoints that the update does not name are removed
   * @return the update with the consequences of addresses that changed their owner
   */
  List<Endpoint> update(EndpointList update, boolean complete) {
    List<Endpoint> changes = new ArrayList<>();
    Set<String> listedIds = new HashSet<>();
    for (EndpointEntry entry : update.entries()) {
      listedIds.add(entry.endpoint().id());
      Endpoint endpoint = resolveAddressOwner(entry, changes);
      changes.add(endpoint);
      replacePool(endpoint, entry.address());
    }
    if (complete) {
      removeUnlisted(listedIds);
    }
    return changes;
  }

  /** Returns the entry's endpoint, as removed if another endpoint started at its address later. */
  private Endpoint resolveAddressOwner(EndpointEntry entry, List<Endpoint> changes) {
    Endpoint endpoint = entry.endpoint();
    EndpointPool owner = byAddress.get(entry.address());
    boolean contested =
        endpoint.state() == EndpointState.READY
            && owner != null
            && !owner.endpoint().id().equals(endpoint.id());
    if (!contested) {
      return endpoint;
    }
    if (owner.endpoint().startedAtNanos() > endpoint.startedAtNanos()) {
      return endpoint.withState(EndpointState.REMOVED);
    }
    changes.add(owner.endpoint().withState(EndpointState.REMOVED));
    remove(owner);
    return endpoint;
  }

  private void replacePool(Endpoint endpoint, SocketAddress address) {
    boolean ready = endpoint.state() == EndpointState.READY;
    EndpointPool current = byEndpointId.get(endpoint.id());
    boolean unchanged = current != null && current.isFor(endpoint, address);
    if (current != null && (!ready || !unchanged)) {
      remove(current);
    }
    if (ready && !unchanged) {
      EndpointPool pool = new EndpointPool(endpoint, address);
      byEndpointId.put(endpoint.id(), pool);
      byAddress.put(address, pool);
    }
  }

  private void removeUnlisted(Set<String> listedIds) {
    for (EndpointPool pool : List.copyOf(byEndpointId.values())) {
      if (!listedIds.contains(pool.endpoint().id())) {
        remove(pool);
      }
    }
  }

  private void remove(EndpointPool pool) {
    pool.retire();
    byEndpointId.remove(pool.endpoint().id());
    byAddress.remove(pool.address(), pool);
  }
}
