package merlinrouter.node.transport;

/** Listener for the turns of an event loop. Called on the event loop. */
@FunctionalInterface
public interface TurnListener {
  /** Handles the end of a turn; the next poll begins after this method returns. */
  void turnEnded(LoopTurn turn);
}
