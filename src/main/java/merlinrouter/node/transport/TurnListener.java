package merlinrouter.node.transport;

/** Is notified of each turn of an event loop. Called on the event loop. */
@FunctionalInterface
public interface TurnListener {
  /** Reports a turn that ended; the next poll begins when this returns. */
  void turnEnded(LoopTurn turn);
}
