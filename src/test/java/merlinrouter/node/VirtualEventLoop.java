package merlinrouter.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * An event loop of virtual time, in nanoseconds. It runs what is due in the order of time; what has
 * become due during a stall runs in random order.
 */
final class VirtualEventLoop {
  private record Event(long dueNanos, long number, Runnable action) {}

  private record Stall(long startNanos, long endNanos) {}

  private final Random shuffling;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::number));
  private final List<Stall> stalls = new ArrayList<>();
  private long nowNanos;
  private long eventCount;

  VirtualEventLoop(long startNanos, long seed) {
    nowNanos = startNanos;
    shuffling = new Random(seed);
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Runs an action at a moment, or in the first turn after it. */
  void schedule(long dueNanos, Runnable action) {
    events.add(new Event(dueNanos, eventCount++, action));
  }

  /** Runs all that is due up to a moment. */
  void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().dueNanos <= untilNanos) {
      runTurn();
    }
    nowNanos = Math.max(nowNanos, untilNanos);
  }

  private void runTurn() {
    long dueNanos = events.peek().dueNanos;
    boolean late = dueNanos < nowNanos;
    nowNanos = Math.max(nowNanos, dueNanos);
    List<Event> due = new ArrayList<>();
    while (!events.isEmpty() && events.peek().dueNanos <= nowNanos) {
      due.add(events.poll());
    }
    if (late) {
      Collections.shuffle(due, shuffling);
    }
    due.forEach(event -> event.action.run());
  }

  /** Lets time pass in which nothing runs; called by an action. */
  void stall(long nanos) {
    stalls.add(new Stall(nowNanos, nowNanos + nanos));
    nowNanos += nanos;
  }

  /** The moment itself, or the end of the stalls that it is in. */
  long endOfStalls(long momentNanos) {
    long endNanos = momentNanos;
    for (Stall stall : stalls) {
      if (stall.startNanos <= endNanos && endNanos < stall.endNanos) {
        endNanos = stall.endNanos;
      }
    }
    return endNanos;
  }
}
