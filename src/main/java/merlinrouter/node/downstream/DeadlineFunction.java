package merlinrouter.node.downstream;

/** Computes the deadline that the gateway applies to a request. */
@FunctionalInterface
interface DeadlineFunction {
  /**
   * Returns the deadline, by the gateway's clock.
   *
   * @param arrivedAtNanos when the request arrived, by the gateway's clock
   * @param timeoutNanos how long its client waits from then on
   */
  long deadlineNanos(long arrivedAtNanos, long timeoutNanos);
}
