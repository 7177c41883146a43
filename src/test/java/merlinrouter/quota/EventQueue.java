package merlinrouter.quota;

import java.util.PriorityQueue;

/** Runs actions in the order of their simulated times, at equal times in order of scheduling. */
final class EventQueue {
  private record Event(long atNanos, long sequenceNumber, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
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
