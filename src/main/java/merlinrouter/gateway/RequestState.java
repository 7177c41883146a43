package merlinrouter.gateway;

import java.util.EnumSet;
import java.util.Set;

/** States of a request, from its arrival to its end. */
enum RequestState {
  /** Received; no admission decision has been made. */
  RECEIVED,
  /** The admission decision waits for the shared counter. */
  AWAITING_COUNTER,
  /** The admission decision waits for the shared counter; the client has disconnected. */
  ABANDONED_AWAITING_COUNTER,
  /** Admitted; waits for its first attempt. */
  QUEUED,
  /** An attempt is in flight. */
  IN_FLIGHT,
  /** An attempt is in flight; the client has disconnected. */
  ABANDONED_IN_FLIGHT,
  /** The final response was sent or the client has disconnected; nothing is in flight. */
  FINISHED;

  /** Returns the states that may follow this one. */
  private Set<RequestState> successors() {
    return switch (this) {
      case RECEIVED -> EnumSet.of(AWAITING_COUNTER, QUEUED, FINISHED);
      case AWAITING_COUNTER -> EnumSet.of(QUEUED, ABANDONED_AWAITING_COUNTER, FINISHED);
      case QUEUED -> EnumSet.of(IN_FLIGHT, FINISHED);
      // A retry may start immediately after the end of an attempt.
      case IN_FLIGHT -> EnumSet.of(IN_FLIGHT, ABANDONED_IN_FLIGHT, FINISHED);
      case ABANDONED_AWAITING_COUNTER, ABANDONED_IN_FLIGHT -> EnumSet.of(FINISHED);
      case FINISHED -> EnumSet.noneOf(RequestState.class);
    };
  }

  /** Returns whether the transition from this state to another one is allowed. */
  boolean mayTransitionTo(RequestState next) {
    return successors().contains(next);
  }

  /** Returns whether the client has disconnected during a counter call or an attempt. */
  boolean isAbandoned() {
    return this == ABANDONED_AWAITING_COUNTER || this == ABANDONED_IN_FLIGHT;
  }
}
