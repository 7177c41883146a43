package merlinrouter.node.http;

/**
 * One connection's share of the decoding on its event loop. Its decoder asks {@link #mayDecode}
 * before each step. Once that has returned false, the connection should stop reading and call
 * {@link #awaitTurn}. Used on the event loop only.
 */
public final class DecodingShare {
  private final DecodingScheduler scheduler;
  private final Runnable continuation;
  private long turn;
  private int stepsInTurn;
  private boolean waiting;
  private boolean exhausted;

  DecodingShare(DecodingScheduler scheduler, Runnable continuation) {
    this.scheduler = scheduler;
    this.continuation = continuation;
  }

  /** Returns whether the connection may take another step in this turn of the event loop. */
  public boolean mayDecode() {
    long currentTurn = scheduler.turn();
    if (currentTurn != turn) {
      turn = currentTurn;
      stepsInTurn = 0;
    }
    exhausted =
        waiting
            || stepsInTurn >= DecodingScheduler.MAX_STEPS_PER_CONNECTION
            || scheduler.isTurnExhausted();
    return !exhausted;
  }

  /** Records that the connection took a number of steps. */
  public void addSteps(int steps) {
    stepsInTurn += steps;
    scheduler.addSteps(steps);
  }

  /** Returns whether the last {@link #mayDecode} returned false: bytes are left undecoded. */
  public boolean isExhausted() {
    return exhausted;
  }

  /** Returns whether the connection waits for its turn. */
  public boolean isWaiting() {
    return waiting;
  }

  /** Waits for a later turn of the event loop, in which the connection continues to decode. */
  public void awaitTurn() {
    if (!waiting) {
      waiting = true;
      scheduler.enqueue(this);
    }
  }

  void continueDecoding() {
    waiting = false;
    exhausted = false;
    turn = scheduler.turn();
    stepsInTurn = 0;
    continuation.run();
  }
}
