package merlinrouter.node.counter;

/** Is notified of the ends of calls to the counter. */
public interface CounterListener {
  /**
   * A call has ended; called on the event loop, exactly once for each call, in the order of the
   * calls for one counter, and never from within the call that started it.
   */
  void counterCallEnded(CounterResult result);
}
