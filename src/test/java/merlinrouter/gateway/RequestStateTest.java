package merlinrouter.gateway;

import static merlinrouter.gateway.RequestState.ABANDONED_AWAITING_COUNTER;
import static merlinrouter.gateway.RequestState.ABANDONED_IN_FLIGHT;
import static merlinrouter.gateway.RequestState.AWAITING_COUNTER;
import static merlinrouter.gateway.RequestState.FINISHED;
import static merlinrouter.gateway.RequestState.IN_FLIGHT;
import static merlinrouter.gateway.RequestState.QUEUED;
import static merlinrouter.gateway.RequestState.RECEIVED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The life cycle of a request. */
class RequestStateTest {
  private static final Map<RequestState, Set<RequestState>> SUCCESSORS =
      Map.of(
          RECEIVED, Set.of(AWAITING_COUNTER, QUEUED, FINISHED),
          AWAITING_COUNTER, Set.of(QUEUED, ABANDONED_AWAITING_COUNTER, FINISHED),
          ABANDONED_AWAITING_COUNTER, Set.of(FINISHED),
          QUEUED, Set.of(IN_FLIGHT, FINISHED),
          IN_FLIGHT, Set.of(IN_FLIGHT, ABANDONED_IN_FLIGHT, FINISHED),
          ABANDONED_IN_FLIGHT, Set.of(FINISHED),
          FINISHED, Set.of());

  @ParameterizedTest
  @EnumSource
  void onlyTheTransitionsOfTheTableAreAllowed(RequestState state) {
    for (RequestState next : RequestState.values()) {
      boolean allowed = SUCCESSORS.get(state).contains(next);
      assertEquals(allowed, state.mayTransitionTo(next), state + " to " + next);
    }
  }

  @Test
  void onlyAbandonedStatesAreReportedAsAbandoned() {
    for (RequestState state : RequestState.values()) {
      boolean abandoned = Set.of(ABANDONED_AWAITING_COUNTER, ABANDONED_IN_FLIGHT).contains(state);
      assertEquals(abandoned, state.isAbandoned(), state.toString());
    }
  }
}
