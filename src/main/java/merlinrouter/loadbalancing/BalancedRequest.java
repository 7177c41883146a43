package merlinrouter.loadbalancing;

/** The properties of a request that load balancing depends on. */
public interface BalancedRequest {
  /** Returns the current estimate of its service time, in seconds. */
  double expectedServiceSeconds();

  /** Returns the start time of its latest attempt. */
  long attemptStartedAtNanos();
}
