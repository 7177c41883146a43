package merlinrouter.emulator.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.invariant.Violation;
import merlinrouter.emulator.peer.BackgroundThreads;

/**
 * Measures how late the emulator's own threads run, for each observer of requests: an upstream
 * server, or the clients of a node. A time that a late thread measures is too late by its lateness.
 * For each observer a probe thread sleeps repeatedly and measures by how much each sleep exceeds
 * its duration. It cannot measure how long received data waited in the kernel until another thread
 * ran.
 */
final class LatenessMonitor {
  private static final long PROBE_INTERVAL_MILLIS = 5;

  /** Up to this, lateness is usual for a timer and is not recorded. */
  private static final long MIN_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final Map<String, LateSpans> lateSpansByObserver = new ConcurrentHashMap<>();

  /** Starts to measure the lateness of an observer. */
  void monitor(String observer) {
    LateSpans lateSpans = lateSpans(observer);
    BackgroundThreads.start("lateness of " + observer, () -> probe(lateSpans));
  }

  /** Returns the late spans of an observer. */
  LateSpans lateSpans(String observer) {
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
   * Returns the greatest lateness of a violation's observer while it observed the request.
   *
   * @param sentAtNanos when the request was sent
   * @param observedAtNanos when the last observation of it was made
   */
  long latenessNanos(Violation violation, long sentAtNanos, long observedAtNanos) {
    return lateSpans(violation.observer()).longestNanos(sentAtNanos, observedAtNanos);
  }

  /**
   * Returns whether the observer's own lateness may account for a violation: only a time shows the
   * violation, and it exceeds its limit by no more than the observer's lateness in that time.
   */
  boolean mayExplain(Violation violation, long sentAtNanos, long observedAtNanos) {
    return violation.isTimed()
        && violation.excessNanos() <= latenessNanos(violation, sentAtNanos, observedAtNanos);
  }
}
