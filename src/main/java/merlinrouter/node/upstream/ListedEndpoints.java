package merlinrouter.node.upstream;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;

/**
 * The endpoints that discovery lists, and which of them is reached at an address. Used on the event
 * loop only.
 *
 * <p>An address belongs to the endpoint that started there last, whatever its state. The previous
 * endpoints of the address count as removed even while discovery still lists them as ready:
 * requests to their ids would reach the new endpoint without regard to its slow start and draining.
 * They count as listed again once the new endpoint is removed or has another address.
 */
final class ListedEndpoints {
  /** An entry of the list; of two with the same start, a ready one and then the later one wins. */
  private record Listing(EndpointEntry entry, long sequenceNumber) {
    private static final Comparator<Listing> BY_START =
        Comparator.comparingLong((Listing listing) -> listing.entry.endpoint().startedAtNanos())
            .thenComparing(Listing::isReady)
            .thenComparingLong(Listing::sequenceNumber);

    String id() {
      return entry.endpoint().id();
    }

    boolean isReady() {
      return entry.endpoint().state() == EndpointState.READY;
    }

    EndpointEntry removed() {
      return new EndpointEntry(entry.endpoint().withState(EndpointState.REMOVED), entry.address());
    }
  }

  private final Map<String, Listing> byId = new HashMap<>();
  private final Map<SocketAddress, List<Listing>> byAddress = new HashMap<>();
  private long lastSequenceNumber;

  /**
   * Applies an update of the endpoint list.
   *
   * @param update the complete list or its changed entries
   * @param removeUnlisted whether endpoints that are not in the update are removed
   * @return the entries that may have changed: those of the update, in its order, those removed as
   *     unlisted, and those that share an address with one of these; an endpoint is marked as
   *     removed if its address belongs to another one
   */
  Collection<EndpointEntry> update(EndpointList update, boolean removeUnlisted) {
    Map<String, EndpointEntry> changes = new LinkedHashMap<>();
    Set<SocketAddress> affectedAddresses = new LinkedHashSet<>();
    for (EndpointEntry entry : update.entries()) {
      changes.put(entry.endpoint().id(), entry);
    }
    if (removeUnlisted) {
      for (Listing listing : byId.values()) {
        changes.computeIfAbsent(listing.id(), unlisted -> listing.removed());
      }
    }
    for (EndpointEntry entry : changes.values()) {
      apply(entry, affectedAddresses);
    }
    for (SocketAddress address : affectedAddresses) {
      resolveOwner(address, changes);
    }
    return changes.values();
  }

  private void apply(EndpointEntry entry, Set<SocketAddress> affectedAddresses) {
    Listing previous = byId.remove(entry.endpoint().id());
    if (previous != null) {
      removeFromAddress(previous);
      affectedAddresses.add(previous.entry.address());
    }
    if (entry.endpoint().state() != EndpointState.REMOVED) {
      Listing listing = new Listing(entry, ++lastSequenceNumber);
      byId.put(listing.id(), listing);
      byAddress.computeIfAbsent(entry.address(), address -> new ArrayList<>(1)).add(listing);
      affectedAddresses.add(entry.address());
    }
  }

  private void removeFromAddress(Listing listing) {
    SocketAddress address = listing.entry.address();
    List<Listing> sharing = byAddress.get(address);
    sharing.remove(listing);
    if (sharing.isEmpty()) {
      byAddress.remove(address);
    }
  }

  private void resolveOwner(SocketAddress address, Map<String, EndpointEntry> changes) {
    List<Listing> sharing = byAddress.getOrDefault(address, List.of());
    Listing owner = sharing.stream().max(Listing.BY_START).orElse(null);
    for (Listing listing : sharing) {
      boolean loses = listing != owner && listing.isReady();
      changes.put(listing.id(), loses ? listing.removed() : listing.entry);
    }
  }
}
