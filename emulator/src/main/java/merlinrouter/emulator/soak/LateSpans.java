package merlinrouter.emulator.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Spans in which a thread was due to run and did not. Any thread may call. */
final class LateSpans {
  private record Span(long dueNanos, long ranNanos) {
    long overlapNanos(long fromNanos, long toNanos) {
      return Math.max(0, Math.min(toNanos, ranNanos) - Math.max(fromNanos, dueNanos));
    }
  }

  private final List<Span> spans = new CopyOnWriteArrayList<>();

  /** Records that a thread that was due at one moment ran at another. */
  void add(long dueNanos, long ranNanos) {
    spans.add(new Span(dueNanos, ranNanos));
  }

  /** The longest time for which one span overlaps with the time between two moments. */
  long longestNanos(long fromNanos, long toNanos) {
    return spans.stream().mapToLong(span -> span.overlapNanos(fromNanos, toNanos)).max().orElse(0);
  }
}
