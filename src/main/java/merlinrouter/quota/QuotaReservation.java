package merlinrouter.quota;

import merlinrouter.model.ClientRequest;
import merlinrouter.settings.RequestClass;

/**
 * What one request holds of its customer's quota, from its arrival to its end: units, and a place
 * among the customer's requests in flight. Used by one thread.
 *
 * <p>Units are taken from hard limit and quota before the decision, so that requests that wait for
 * the counter count against each other. Those of the quota are given back if the request turns out
 * to be beyond it; all are given back with the release of a request that was never forwarded.
 */
public final class QuotaReservation {
  /** What is held, and whether it has been decided on. */
  enum State {
    /** Nothing has been taken. */
    OPENED,
    /** Units were taken from hard limit and quota; nothing was decided. */
    UNDECIDED,
    /** As {@link #UNDECIDED}; the decision waits for the counter. */
    AWAITING_COUNTER,
    /** As {@link #AWAITING_COUNTER}; the client has disconnected. */
    ABANDONED,
    /** The request is within the quota and holds its units. */
    WITHIN_QUOTA,
    /** The request is beyond the quota; it holds units of the hard limit only. */
    OVER_QUOTA;

    boolean holdsHardLimitUnits() {
      return this != OPENED;
    }

    boolean holdsQuotaUnits() {
      return this != OPENED && this != OVER_QUOTA;
    }
  }

  private final QuotaAccount account;
  private final ClientRequest request;
  private final RequestClass requestClass;
  private final long objectiveAtNanos;
  private State state = State.OPENED;
  private boolean forwarded;

  QuotaReservation(
      QuotaAccount account,
      ClientRequest request,
      RequestClass requestClass,
      long objectiveAtNanos) {
    this.account = account;
    this.request = request;
    this.requestClass = requestClass;
    this.objectiveAtNanos = objectiveAtNanos;
  }

  /** The id of the request. */
  public String requestId() {
    return request.id();
  }

  /** The value factor of the customer's plan. */
  public double planValueFactor() {
    return account.plan().valueFactor();
  }

  /** Value of the request: its class's weight times its plan's factor, less beyond the quota. */
  public double value() {
    double fraction =
        state == State.OVER_QUOTA
            ? account.plan().overQuotaValue() - account.plan().overQuotaCost()
            : 1;
    return requestClass.priorityWeight() * account.plan().valueFactor() * fraction;
  }

  /** Whether the customer may have one more request in flight. */
  public boolean mayForward() {
    return account.mayForward();
  }

  /** Records that an attempt of the request starts. */
  public void markForwarded() {
    if (!forwarded) {
      forwarded = true;
      account.forwardStarted();
    }
  }

  /** Replaces the units that the request holds of the quota by those that it really used. */
  public void settle(double actualUnits) {
    if (state.holdsQuotaUnits()) {
      account.take(actualUnits - request.units());
    }
  }

  /** Records that the client has disconnected while a call to the counter is under way. */
  public void abandon() {
    state = State.ABANDONED;
  }

  /** Ends the reservation; the units are given back if the request was never forwarded. */
  public void release() {
    account.released(this);
  }

  QuotaAccount account() {
    return account;
  }

  ClientRequest request() {
    return request;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  /** The moment up to which a response earns the full value. */
  long objectiveAtNanos() {
    return objectiveAtNanos;
  }

  double units() {
    return request.units();
  }

  boolean isForwarded() {
    return forwarded;
  }

  State state() {
    return state;
  }

  void setState(State newState) {
    state = newState;
  }

  /** Whether the decision waits for the counter, and whether or not the client still does. */
  boolean isAwaitingCounter() {
    return state == State.AWAITING_COUNTER || state == State.ABANDONED;
  }
}
