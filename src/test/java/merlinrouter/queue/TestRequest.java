package merlinrouter.queue;

/** A request in a queue, with fixed answers. */
record TestRequest(String id, boolean mayStart, double arrivalVirtualTime, double value)
    implements QueuedRequest {

  /** A request that may start, with a value of 1. */
  static TestRequest arrivedAt(double virtualTime, String id) {
    return new TestRequest(id, true, virtualTime, 1);
  }
}
