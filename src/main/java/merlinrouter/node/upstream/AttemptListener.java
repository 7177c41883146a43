package merlinrouter.node.upstream;

/** Receives the results of attempts. */
public interface AttemptListener {
  /**
   * Handles the end of an attempt. Called on the event loop, exactly once for each attempt,
   * possibly before {@link UpstreamPool#send} returns.
   */
  void attemptEnded(CompletedAttempt attempt);
}
