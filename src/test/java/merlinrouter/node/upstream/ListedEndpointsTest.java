package merlinrouter.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import org.junit.jupiter.api.Test;

/** Tests which of several endpoints is reached at an address. */
class ListedEndpointsTest {
  private static final int PORT = 1_000;
  private static final int OTHER_PORT = 2_000;

  private final ListedEndpoints listed = new ListedEndpoints();
  private final Map<String, EndpointState> states = new TreeMap<>();

  private static EndpointEntry entry(String id, int port, EndpointState state, long startedAt) {
    return new EndpointEntry(
        new Endpoint(id, 1, 0, 0, 0, state, startedAt),
        InetSocketAddress.createUnresolved("127.0.0.1", port));
  }

  private static EndpointEntry ready(String id, int port, long startedAt) {
    return entry(id, port, EndpointState.READY, startedAt);
  }

  private static EndpointEntry draining(String id, long startedAt) {
    return entry(id, PORT, EndpointState.DRAINING, startedAt);
  }

  private static EndpointEntry removed(String id) {
    return entry(id, PORT, EndpointState.REMOVED, 0);
  }

  private void update(boolean removeUnlisted, EndpointEntry... entries) {
    EndpointList list = new EndpointList(1, removeUnlisted, List.of(entries));
    for (EndpointEntry each : listed.update(list, removeUnlisted)) {
      states.put(each.endpoint().id(), each.endpoint().state());
    }
  }

  private void assertStates(EndpointState older, EndpointState newer) {
    assertEquals(Map.of("a", older, "b", newer), states);
  }

  @Test
  void laterStartOwnsTheAddressInAnyOrder() {
    update(true, ready("a", PORT, 0), ready("b", PORT, 9));
    assertStates(EndpointState.REMOVED, EndpointState.READY);
    update(true, ready("b", PORT, 9), ready("a", PORT, 0));
    assertStates(EndpointState.REMOVED, EndpointState.READY);
    update(false, ready("a", PORT, 0));
    assertStates(EndpointState.REMOVED, EndpointState.READY);
  }

  @Test
  void drainingEndpointKeepsItsPredecessorFromTheAddress() {
    update(true, ready("a", PORT, 0));
    update(false, draining("b", 9));
    assertStates(EndpointState.REMOVED, EndpointState.DRAINING);
    update(false, ready("a", PORT, 0));
    assertStates(EndpointState.REMOVED, EndpointState.DRAINING);
  }

  @Test
  void addressFallsBackWhenItsOwnerIsRemovedOrMoves() {
    update(true, ready("a", PORT, 0), ready("b", PORT, 9));
    update(false, removed("b"));
    assertStates(EndpointState.READY, EndpointState.REMOVED);
    update(false, ready("b", PORT, 9));
    update(false, ready("b", OTHER_PORT, 9));
    assertStates(EndpointState.READY, EndpointState.READY);
  }

  @Test
  void endpointsMaySwapAddresses() {
    update(true, ready("a", PORT, 1), ready("b", OTHER_PORT, 9));
    update(false, ready("a", OTHER_PORT, 1), ready("b", PORT, 9));
    assertStates(EndpointState.READY, EndpointState.READY);
  }

  @Test
  void ofTwoWithTheSameStartTheReadyOneAndThenTheLaterOneOwnsTheAddress() {
    update(true, ready("a", PORT, 0), draining("b", 0));
    assertStates(EndpointState.READY, EndpointState.DRAINING);
    update(false, ready("b", PORT, 0));
    assertStates(EndpointState.REMOVED, EndpointState.READY);
  }

  @Test
  void wholeListRemovesUnlistedEndpoints() {
    update(true, ready("a", PORT, 0), ready("b", OTHER_PORT, 0));
    update(true, ready("b", OTHER_PORT, 0));
    assertStates(EndpointState.REMOVED, EndpointState.READY);
  }
}
