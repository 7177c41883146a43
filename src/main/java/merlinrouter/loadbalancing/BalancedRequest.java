package merlinrouter.loadbalancing;

/** A request as the load balancer sees it. */
public interface BalancedRequest {
  /** Its expected service time at present, in seconds. */
  double expectedServiceSeconds();

  /** When its latest attempt was started. */
  long attemptStartedAtNanos();
}
