package merlinrouter.quota;

import merlinrouter.model.ClientRequest;
import merlinrouter.settings.RequestClass;

/**
 * What one request holds of its customer's quota, from its arrival to its end: units, and a place
 * among the customer's requests in flight. Used by one thread.
 */
public final class QuotaReservation {
  private final QuotaAccount account;
  private final ClientRequest request;
  private final RequestClass requestClass;
  private final long objectiveAtNanos;
  private boolean unitsTaken;
  private boolean withinQuota;
  private boolean awaitingCounter;
  private boolean abandoned;
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
    double part =
        withinQuota ? 1 : account.plan().overQuotaValue() - account.plan().overQuotaCost();
    return requestClass.priorityWeight() * account.plan().valueFactor() * part;
  }

  /** Whether the customer may have one more request in flight. */
  public boolean mayForward() {
    return account.mayForward();
  }

  /** Notes that an attempt of the request starts. */
  public void markForwarded() {
    if (!forwarded) {
      forwarded = true;
      account.forwardStarted();
    }
  }

  /** Replaces the request's units by those that it really used. */
  public void settle(double actualUnits) {
    if (withinQuota) {
      account.take(actualUnits - request.units());
    }
  }

  /** Notes that nobody waits for the request any more, while the counter is being asked. */
  public void abandon() {
    abandoned = true;
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

  boolean isAbandoned() {
    return abandoned;
  }

  boolean areUnitsTaken() {
    return unitsTaken;
  }

  void markUnitsTaken() {
    unitsTaken = true;
  }

  boolean isWithinQuota() {
    return withinQuota;
  }

  void setWithinQuota(boolean within) {
    withinQuota = within;
  }

  boolean isAwaitingCounter() {
    return awaitingCounter;
  }

  void setAwaitingCounter(boolean awaiting) {
    awaitingCounter = awaiting;
  }
}
