package merlinrouter.emulator.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.invariant.Violation;
import merlinrouter.emulator.peer.BackgroundThreads;

/**
 * Measures how late the emulator's own threads run, for each observer of requests: an upstream
 * server, or the clients of a node. A time that an observer took while its threads were late is too
 * late by as much. Each observer has a thread that waits as its others do; that the kernel had data
 * for a thread before it ran cannot be seen from here.
 */
final class LatenessMonitor {
  private static final long PROBE_INTERVAL_MILLIS = 5;

  /** Less is a timer's usual lateness. */
  private static final long MIN_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final Map<String, LateSpans> lateSpansByObserver = new ConcurrentHashMap<>();

  /** Begins to measure an observer. */
  void watch(String observer) {
    LateSpans lateSpans = of(observer);
    BackgroundThreads.start("lateness of " + observer, () -> probe(lateSpans));
  }

  /** The late spans of an observer. */
  LateSpans of(String observer) {
    return lateSpansByObserver.computeIfAbsent(observer, name -> new LateSpans());
  }

  private static void probe(LateSpans lateSpans) throws InterruptedException {
    while (true) {
      long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
      Thread.sleep(PROBE_INTERVAL_MILLIS);
      long ranNanos = System.nanoTime();
      if (ranNanos - dueNanos > MIN_LATE_NANOS) {
        lateSpans.add(dueNanos, ranNanos);
      }
    }
  }

  /**
   * How late the observer of a violation was while it observed the request, at most.
   *
   * @param sentAtNanos when the request was sent
   * @param observedAtNanos when the last observation of it was made
   */
  long latenessNanos(Violation violation, long sentAtNanos, long observedAtNanos) {
    return of(violation.observer()).longestNanos(sentAtNanos, observedAtNanos);
  }

  /**
   * Whether a violation may be the observer's own lateness: it is shown by a time alone, which
   * exceeds its limit by no more than the observer was late meanwhile.
   */
  boolean mayExplain(Violation violation, long sentAtNanos, long observedAtNanos) {
    return violation.isTimed()
        && violation.excessNanos() <= latenessNanos(violation, sentAtNanos, observedAtNanos);
  }
}
