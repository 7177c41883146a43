package merlinrouter.queue;

/** A queued request with fixed properties. */
record TestRequest(String id, boolean mayStart, double arrivalVirtualTime, double value)
    implements QueuedRequest {

  /** Returns a request that may start and has a value of 1. */
  static TestRequest arrivedAt(double virtualTime, String id) {
    return new TestRequest(id, true, virtualTime, 1);
  }
}
