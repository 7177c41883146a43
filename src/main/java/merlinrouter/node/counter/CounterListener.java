package merlinrouter.node.counter;

/** Receives the results of calls to the counter. */
public interface CounterListener {
  /**
   * Handles the end of a call. Invoked on the event loop exactly once for each call, in the order
   * in which the calls for one counter were started. Never invoked from within the {@link
   * CounterClient#add} that started the call, but possibly from within a later one.
   */
  void counterCallEnded(CounterResult result);
}
