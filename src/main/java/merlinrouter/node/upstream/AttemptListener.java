package merlinrouter.node.upstream;

/** Is notified of the ends of attempts. */
public interface AttemptListener {
  /**
   * An attempt has ended; called on the event loop, exactly once for each attempt, possibly before
   * {@link UpstreamPool#send} returns.
   */
  void attemptEnded(CompletedAttempt attempt);
}
