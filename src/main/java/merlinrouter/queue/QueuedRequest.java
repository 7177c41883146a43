package merlinrouter.queue;

/** A request that can be queued. */
public interface QueuedRequest {
  /** Returns whether its customer's limit on requests in flight permits releasing it now. */
  boolean mayStart();

  /** Returns the virtual time of the fair queue at the arrival of the request. */
  double arrivalVirtualTime();

  /** Returns the value of serving the request; the least valuable requests are shed first. */
  double value();
}
