package merlinrouter.node.discovery;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;

/**
 * Merges complete lists with entries of lists whose rest has not arrived. Such entries are
 * unconfirmed: they are applied, but do not change the revision that the next watch asks for. What
 * that watch delivers is relative to the last complete list, so an unconfirmed entry that it does
 * not repeat is reverted. Used on the event loop only.
 */
final class EndpointListMerger {
  /** An entry of a list that was incomplete, and the revision of that list. */
  private record UnconfirmedEntry(long revision, EndpointEntry entry) {}

  /** The endpoints as of the last complete list, by id. */
  private final Map<String, EndpointEntry> confirmed = new HashMap<>();

  private final Map<String, UnconfirmedEntry> unconfirmed = new HashMap<>();
  private long revision;

  /**
   * Creates a merger.
   *
   * @param known the whole list as far as it is known
   */
  EndpointListMerger(EndpointList known) {
    revision = known.revision();
    confirm(known.entries());
  }

  /** Returns the revision of the last complete list. */
  long revision() {
    return revision;
  }

  /**
   * Merges entries of an incomplete list.
   *
   * @param part some entries and the revision of their list
   * @return the changes to apply, none if the list is not newer than the last complete one
   */
  EndpointList mergePart(EndpointList part) {
    Map<String, EndpointEntry> changes = new LinkedHashMap<>();
    if (part.revision() > revision) {
      for (EndpointEntry entry : part.entries()) {
        String id = entry.endpoint().id();
        UnconfirmedEntry previous = unconfirmed.get(id);
        if (previous == null || previous.revision <= part.revision()) {
          unconfirmed.put(id, new UnconfirmedEntry(part.revision(), entry));
          changes.put(id, entry);
        }
      }
    }
    return new EndpointList(part.revision(), false, List.copyOf(changes.values()));
  }

  /**
   * Merges a complete list, whole or of changed entries.
   *
   * @return the list to apply instead: with the entries to revert, and without those for which an
   *     incomplete list had a newer one
   */
  EndpointList mergeList(EndpointList list) {
    // Discovery has started anew: its revisions cannot be compared with earlier ones.
    boolean restarted = list.revision() < revision;
    revision = list.revision();
    if (list.complete()) {
      confirmed.clear();
    }
    confirm(list.entries());
    if (unconfirmed.isEmpty()) {
      return list;
    }
    Map<String, EndpointEntry> merged = new LinkedHashMap<>();
    for (EndpointEntry entry : list.entries()) {
      merged.put(entry.endpoint().id(), entry);
    }
    Iterator<Map.Entry<String, UnconfirmedEntry>> remaining = unconfirmed.entrySet().iterator();
    while (remaining.hasNext()) {
      Map.Entry<String, UnconfirmedEntry> next = remaining.next();
      EndpointEntry entry = next.getValue().entry;
      if (!restarted && next.getValue().revision > revision) {
        merged.put(next.getKey(), entry);
      } else {
        merged.computeIfAbsent(next.getKey(), id -> confirmed.getOrDefault(id, removed(entry)));
        remaining.remove();
      }
    }
    return new EndpointList(revision, list.complete(), List.copyOf(merged.values()));
  }

  private void confirm(List<EndpointEntry> entries) {
    for (EndpointEntry entry : entries) {
      Endpoint endpoint = entry.endpoint();
      if (endpoint.state() == EndpointState.REMOVED) {
        confirmed.remove(endpoint.id());
      } else {
        confirmed.put(endpoint.id(), entry);
      }
    }
  }

  private static EndpointEntry removed(EndpointEntry entry) {
    return new EndpointEntry(entry.endpoint().withState(EndpointState.REMOVED), entry.address());
  }
}
