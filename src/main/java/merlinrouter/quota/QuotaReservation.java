package merlinrouter.quota;

import merlinrouter.model.ClientRequest;
import merlinrouter.settings.RequestClass;

/**
 * The share of its customer's quota that one request holds from its arrival to its end: units and,
 * once it is forwarded, a slot among the customer's requests in flight. Not thread-safe.
 *
 * <p>Units are taken from the hard limit and the quota before the decision, so that requests that
 * wait for the counter count against each other. The units of the quota are given back if the
 * request is found to be over it; all units are given back on the release of a request that was
 * never forwarded.
 */
public final class QuotaReservation {
  /** State of the decision, which determines the units that are held. */
  enum State {
    /** No units have been taken. */
    OPENED,
    /** Units were taken from the hard limit and the quota; there is no decision yet. */
    UNDECIDED,
    /** As {@link #UNDECIDED}; the decision waits for the counter. */
    AWAITING_COUNTER,
    /** As {@link #AWAITING_COUNTER}; the client has disconnected. */
    ABANDONED,
    /** The request is within the quota and holds its units. */
    WITHIN_QUOTA,
    /** The request is over the quota; it holds units of the hard limit only. */
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

  /** Returns the id of the request. */
  public String requestId() {
    return request.id();
  }

  /** Returns the value factor of the customer's plan. */
  public double planValueFactor() {
    return account.plan().valueFactor();
  }

  /**
   * Returns the value of the request: the weight of its class times the value factor of its plan.
   * Over the quota, this is multiplied by the plan's over-quota value less its over-quota cost.
   */
  public double value() {
    double fraction =
        state == State.OVER_QUOTA
            ? account.plan().overQuotaValue() - account.plan().overQuotaCost()
            : 1;
    return requestClass.priorityWeight() * account.plan().valueFactor() * fraction;
  }

  /** Returns whether the customer may have one more request in flight. */
  public boolean mayForward() {
    return account.mayForward();
  }

  /** Records that an attempt of the request is started. */
  public void markForwarded() {
    if (!forwarded) {
      forwarded = true;
      account.forwardStarted();
    }
  }

  /** Corrects the units that the request holds of the quota to the units that it actually used. */
  public void settle(double actualUnits) {
    if (state.holdsQuotaUnits()) {
      account.take(actualUnits - request.units());
    }
  }

  /** Records that the client has disconnected while the decision waits for the counter. */
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

  /** Returns the latest moment at which a response earns the full value. */
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

  /** Returns whether the decision waits for the counter, also if the client has disconnected. */
  public boolean isAwaitingCounter() {
    return state == State.AWAITING_COUNTER || state == State.ABANDONED;
  }
}
