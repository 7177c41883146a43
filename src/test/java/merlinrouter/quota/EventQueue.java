package merlinrouter.quota;

import java.util.PriorityQueue;

/** Runs actions in the order of their simulated times; equal times in the order of their entry. */
final class EventQueue {
  private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long scheduledCount;

  EventQueue(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  long nowNanos() {
    return nowNanos;
  }

  void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, scheduledCount++, action));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event next = events.poll();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = endNanos;
  }
}
