package merlinrouter.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import org.junit.jupiter.api.Test;

/** Tests entries of lists that stay incomplete, and the complete lists that follow them. */
class EndpointListMergerTest {
  private static final long KNOWN_REVISION = 5;

  private final EndpointListMerger merger =
      new EndpointListMerger(
          list(KNOWN_REVISION, true, ready("a"), ready("b"), entry("c", EndpointState.DRAINING)));

  private static EndpointEntry entry(String id, EndpointState state) {
    return new EndpointEntry(
        new Endpoint(id, 1, 0, 0, 0, state, 0), InetSocketAddress.createUnresolved(id, 1));
  }

  private static EndpointEntry ready(String id) {
    return entry(id, EndpointState.READY);
  }

  private static EndpointEntry draining(String id) {
    return entry(id, EndpointState.DRAINING);
  }

  private static EndpointList list(long revision, boolean complete, EndpointEntry... entries) {
    return new EndpointList(revision, complete, Arrays.asList(entries));
  }

  private static Map<String, EndpointState> states(EndpointList list) {
    return list.entries().stream()
        .collect(Collectors.toMap(each -> each.endpoint().id(), each -> each.endpoint().state()));
  }

  @Test
  void partsChangeEndpointsButNotTheRevision() {
    EndpointList changes = merger.mergePart(list(7, false, draining("a"), ready("d")));
    assertEquals(Map.of("a", EndpointState.DRAINING, "d", EndpointState.READY), states(changes));
    assertEquals(KNOWN_REVISION, merger.revision());
  }

  @Test
  void partsOfAListThatIsNotNewerAreIgnored() {
    assertEquals(List.of(), merger.mergePart(list(KNOWN_REVISION, false, draining("a"))).entries());
  }

  /** Discovery may leave out what has changed and changed back since the last complete list. */
  @Test
  void entriesThatTheNextChangesDoNotRepeatAreReverted() {
    merger.mergePart(list(6, false, draining("a"), ready("c"), ready("d"), draining("b")));
    EndpointList merged = merger.mergeList(list(8, false, draining("b")));
    assertEquals(
        Map.of(
            "a", EndpointState.READY,
            "b", EndpointState.DRAINING,
            "c", EndpointState.DRAINING,
            "d", EndpointState.REMOVED),
        states(merged));
    assertEquals(8, merger.revision());
    assertEquals(
        Map.of("a", EndpointState.DRAINING),
        states(merger.mergeList(list(9, false, draining("a")))));
  }

  /** A watch that was opened earlier may complete an older list. */
  @Test
  void anOlderListDoesNotOverrideEntriesOfANewerIncompleteOne() {
    merger.mergePart(list(8, false, draining("a"), entry("b", EndpointState.REMOVED)));
    assertEquals(List.of(), merger.mergePart(list(7, false, ready("a"))).entries());
    EndpointList merged = merger.mergeList(list(7, true, ready("a"), ready("b"), ready("c")));
    assertEquals(
        Map.of(
            "a", EndpointState.DRAINING,
            "b", EndpointState.REMOVED,
            "c", EndpointState.READY),
        states(merged));
    EndpointList newer = merger.mergeList(list(8, false, ready("b")));
    assertEquals(
        Map.of("a", EndpointState.READY, "b", EndpointState.READY),
        states(newer),
        "the newer list has a as ready again, and b is back");
  }

  @Test
  void aListOfADiscoveryThatStartedAnewOverridesAllEntries() {
    merger.mergePart(list(8, false, draining("a"), ready("d")));
    EndpointList merged = merger.mergeList(list(2, true, ready("a")));
    assertEquals(EndpointState.READY, states(merged).get("a"));
    assertEquals(EndpointState.REMOVED, states(merged).get("d"));
    assertEquals(2, merger.revision());
  }
}
