package merlinrouter.queue;

/** A request as its queue sees it. */
public interface QueuedRequest {
  /** Whether it may be released now, as far as its customer's limits go. */
  boolean mayStart();

  /** The fair queue's virtual time when the request arrived. */
  double arrivalVirtualTime();

  /** Value of serving it; the least valuable requests are shed first. */
  double value();
}
