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
 * The connection pools of the endpoints that are ready according to the endpoint list. Used on the
 * event loop only.
 *
 * <p>An address belongs to one endpoint, the one that started there last. The previous endpoint of
 * the address is removed even if discovery still lists it as ready: requests to its id would reach
 * the new endpoint without regard to its slow start and draining.
 */
final class EndpointPools {
  private final Map<String, EndpointPool> byEndpointId = new HashMap<>();

  /** Saves a search through all endpoints, which would make the time of an update quadratic. */
  private final Map<SocketAddress, EndpointPool> byAddress = new HashMap<>();

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
   * @return the endpoints of the update, and those whose address now belongs to another endpoint;
   *     an endpoint is marked as removed if another one started at its address later
   */
  List<Endpoint> update(EndpointList update, boolean removeUnlisted) {
    List<Endpoint> changes = new ArrayList<>();
    Set<String> listedIds = new HashSet<>();
    for (EndpointEntry entry : update.entries()) {
      listedIds.add(entry.endpoint().id());
      Endpoint endpoint = resolveAddressOwner(entry, changes);
      changes.add(endpoint);
      replacePool(endpoint, entry.address());
    }
    if (removeUnlisted) {
      removeUnlisted(listedIds);
    }
    return changes;
  }

  /**
   * Returns the entry's endpoint, marked as removed if another endpoint started at its address
   * later. If another one started there earlier or at the same time, removes that one and adds its
   * removal to {@code changes}.
   */
  private Endpoint resolveAddressOwner(EndpointEntry entry, List<Endpoint> changes) {
    Endpoint endpoint = entry.endpoint();
    EndpointPool owner = byAddress.get(entry.address());
    boolean addressConflict =
        endpoint.state() == EndpointState.READY
            && owner != null
            && !owner.endpoint().id().equals(endpoint.id());
    if (!addressConflict) {
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
