package merlinrouter.gateway;

import java.util.EnumSet;
import java.util.Set;

/** Where a request is in its life cycle. */
enum RequestState {
  /** It arrived, and nothing was decided yet. */
  RECEIVED,
  /** Its admission waits for the shared counter. */
  AWAITING_COUNTER,
  /** Its admission waits for the shared counter, and its client has disconnected. */
  ABANDONED_AWAITING_COUNTER,
  /** It was admitted and waits for an attempt. */
  QUEUED,
  /** An attempt is in flight. */
  IN_FLIGHT,
  /** An attempt is in flight, and the client has disconnected. */
  ABANDONED_IN_FLIGHT,
  /** Its final response was sent, or its client has disconnected; nothing is in flight. */
  FINISHED;

  /** The states that may follow. */
  private Set<RequestState> next() {
    return switch (this) {
      case RECEIVED -> EnumSet.of(AWAITING_COUNTER, QUEUED, FINISHED);
      case AWAITING_COUNTER -> EnumSet.of(QUEUED, ABANDONED_AWAITING_COUNTER, FINISHED);
      case QUEUED -> EnumSet.of(IN_FLIGHT, FINISHED);
      // An attempt that ended may be followed by another one at once.
      case IN_FLIGHT -> EnumSet.of(IN_FLIGHT, ABANDONED_IN_FLIGHT, FINISHED);
      case ABANDONED_AWAITING_COUNTER, ABANDONED_IN_FLIGHT -> EnumSet.of(FINISHED);
      case FINISHED -> EnumSet.noneOf(RequestState.class);
    };
  }

  /** Whether a state may follow this one. */
  boolean mayBecome(RequestState state) {
    return next().contains(state);
  }

  /** Whether the client has disconnected while something is under way. */
  boolean isAbandoned() {
    return this == ABANDONED_AWAITING_COUNTER || this == ABANDONED_IN_FLIGHT;
  }
}
