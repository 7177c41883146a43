package merlinrouter.node.http;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Shares an event loop among the connections whose received bytes are to be decoded. In each turn
 * of the event loop, decoding takes a limited number of steps on each connection and on all
 * connections together. Connections that have reached a limit continue in later turns, in the order
 * in which they reached it. Without the limits, peers that send many small parts would keep the
 * event loop from timers and from all other sockets. Used on the event loop only.
 */
public final class DecodingScheduler {
  /** A step decodes one part of a message, such as a chunk's size, or one header line. */
  static final int MAX_STEPS_PER_CONNECTION = 512;

  /** For bytes that have just been read; connections that continue may take as many again. */
  static final int MAX_STEPS_PER_TURN = 4_096;

  private final LongSupplier turnNumber;
  private final Consumer<Runnable> timer;
  private final ArrayDeque<DecodingShare> waiting = new ArrayDeque<>();
  private boolean continuationScheduled;
  private long turn;
  private int stepsInTurn;

  /**
   * Creates a scheduler.
   *
   * @param turnNumber the number of the event loop's current turn, which changes with each turn
   * @param timer runs a task on the event loop after the events and tasks that are due already;
   *     between two runs it polls its sockets
   */
  public DecodingScheduler(LongSupplier turnNumber, Consumer<Runnable> timer) {
    this.turnNumber = turnNumber;
    this.timer = timer;
  }

  /**
   * Creates the share of a connection.
   *
   * @param continuation continues decoding on the connection, or does nothing if it is closed
   */
  public DecodingShare newShare(Runnable continuation) {
    return new DecodingShare(this, continuation);
  }

  /** Returns the number of the current turn. */
  long turn() {
    long current = turnNumber.getAsLong();
    if (current != turn) {
      turn = current;
      stepsInTurn = 0;
    }
    return turn;
  }

  /** Returns whether the connections together have reached the limit of this turn. */
  boolean isTurnExhausted() {
    return stepsInTurn >= MAX_STEPS_PER_TURN;
  }

  void addSteps(int steps) {
    stepsInTurn += steps;
  }

  /** Lets a share continue in a later turn, after those that wait already. */
  void enqueue(DecodingShare share) {
    waiting.add(share);
    scheduleContinuation();
  }

  private void scheduleContinuation() {
    if (!continuationScheduled) {
      continuationScheduled = true;
      timer.accept(this::continueWaiting);
    }
  }

  private void continueWaiting() {
    continuationScheduled = false;
    turn();
    stepsInTurn = 0;
    try {
      while (!waiting.isEmpty() && !isTurnExhausted()) {
        waiting.remove().continueDecoding();
      }
    } finally {
      // Also if a continuation fails: the others must not wait for another connection to enqueue.
      if (!waiting.isEmpty()) {
        scheduleContinuation();
      }
    }
  }
}
