package merlinrouter.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * An event loop in virtual time, in nanoseconds. Events run in the order of their due times; those
 * that became due during a stall run in random order.
 */
final class VirtualEventLoop {
  private record Event(long dueNanos, long number, Runnable action) {}

  private record Stall(long startNanos, long endNanos) {}

  private final Random shuffleRandom;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueNanos).thenComparingLong(Event::number));
  private final List<Stall> stalls = new ArrayList<>();
  private long nowNanos;
  private long eventCount;

  VirtualEventLoop(long startNanos, long seed) {
    nowNanos = startNanos;
    shuffleRandom = new Random(seed);
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Schedules an action; if the event loop is stalled when it is due, it runs in the next turn. */
  void schedule(long dueNanos, Runnable action) {
    events.add(new Event(dueNanos, eventCount++, action));
  }

  /** Runs all events that are due up to a time. */
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
      Collections.shuffle(due, shuffleRandom);
    }
    due.forEach(event -> event.action.run());
  }

  /** Advances the time without running any event; must be called by an action. */
  void stall(long nanos) {
    stalls.add(new Stall(nowNanos, nowNanos + nanos));
    nowNanos += nanos;
  }

  /** Returns the end of the stalls that a time is within, or the time itself outside of stalls. */
  long endOfStalls(long atNanos) {
    long endNanos = atNanos;
    for (Stall stall : stalls) {
      if (stall.startNanos <= endNanos && endNanos < stall.endNanos) {
        endNanos = stall.endNanos;
      }
    }
    return endNanos;
  }
}
