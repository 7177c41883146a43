package merlinrouter.emulator.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Time spans in which a thread was due to run but did not run. Thread-safe. */
final class LateSpans {
  private record Span(long dueNanos, long ranNanos) {
    long overlapNanos(long fromNanos, long toNanos) {
      return Math.max(0, Math.min(toNanos, ranNanos) - Math.max(fromNanos, dueNanos));
    }
  }

  private final List<Span> spans = new CopyOnWriteArrayList<>();

  /** Records that a thread that was due at {@code dueNanos} did not run until {@code ranNanos}. */
  void add(long dueNanos, long ranNanos) {
    spans.add(new Span(dueNanos, ranNanos));
  }

  /** Returns the longest overlap of a single span with the time between two points in time. */
  long longestNanos(long fromNanos, long toNanos) {
    return spans.stream().mapToLong(span -> span.overlapNanos(fromNanos, toNanos)).max().orElse(0);
  }
}
