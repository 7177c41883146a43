package merlinrouter.loadbalancing;

import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.EndpointUpdateType;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how updates of the endpoint list are applied. */
class EndpointRegistryTest {
  private final EventClock clock = new EventClock(PER_SECOND);
  private final EndpointRegistry registry = new EndpointRegistry(new GroupStatistics(clock), clock);

  private void update(EndpointUpdateType type, Endpoint... entries) {
    registry.update(type, List.of(entries));
  }

  private static Endpoint endpoint(String id, EndpointState state, long startedAtNanos) {
    return new Endpoint(id, 1, 0, 0, 0, state, startedAtNanos);
  }

  private static Endpoint ready(String id) {
    return endpoint(id, EndpointState.READY, 0);
  }

  private List<String> readyIds() {
    return registry.ready().stream().map(tracker -> tracker.endpoint().id()).toList();
  }

  @ParameterizedTest
  @CsvSource({"FULL, b", "CACHED, b", "DELTA, a b", "FAILED, a b"})
  void onlyWholeListsRemoveUnlistedEndpoints(EndpointUpdateType type, String expectedIds) {
    update(EndpointUpdateType.FULL, ready("a"), ready("b"));
    update(type, type == EndpointUpdateType.FAILED ? new Endpoint[0] : new Endpoint[] {ready("b")});
    assertEquals(List.of(expectedIds.split(" ")), readyIds());
  }

  @Test
  void drainingAndRemovedEndpointsAreNotReady() {
    update(EndpointUpdateType.FULL, ready("a"), ready("b"), ready("c"));
    update(
        EndpointUpdateType.DELTA,
        endpoint("a", EndpointState.DRAINING, 0),
        endpoint("b", EndpointState.REMOVED, 0));
    assertEquals(List.of("c"), readyIds());
    update(EndpointUpdateType.DELTA, ready("a"));
    assertEquals(List.of("a", "c"), readyIds());
  }

  @Test
  void changedEntryKeepsItsStatisticsAndRestartedEndpointDoesNot() {
    update(EndpointUpdateType.FULL, ready("a"));
    EndpointTracker tracker = registry.get("a");
    update(EndpointUpdateType.DELTA, endpoint("a", EndpointState.DRAINING, 0));
    assertSame(tracker, registry.get("a"));
    update(EndpointUpdateType.DELTA, endpoint("a", EndpointState.READY, PER_SECOND));
    assertNotSame(tracker, registry.get("a"));
    assertEquals(List.of("a"), readyIds());
  }

  @Test
  void removedEndpointIsDroppedByAnUpdateAfterThirtySeconds() {
    update(EndpointUpdateType.FULL, ready("a"), ready("b"));
    update(EndpointUpdateType.FULL, ready("b"));
    assertEquals(2, registry.size());
    clock.advanceTo(31 * PER_SECOND);
    update(EndpointUpdateType.DELTA);
    assertEquals(1, registry.size());
  }
}
