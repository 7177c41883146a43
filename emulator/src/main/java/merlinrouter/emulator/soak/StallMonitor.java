package merlinrouter.emulator.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.peer.BackgroundThreads;

/**
 * Records when the emulator's own threads did not run in time, on a busy machine or in a pause of
 * its JVM. What its clients and servers recorded then is late by as much, and proves nothing
 * against a node.
 */
final class StallMonitor {
  private static final long CHECK_INTERVAL_MILLIS = 5;
  private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private record Stall(long startNanos, long endNanos) {
    long overlapNanos(long fromNanos, long toNanos) {
      return Math.max(0, Math.min(toNanos, endNanos) - Math.max(fromNanos, startNanos));
    }
  }

  private final List<Stall> stalls = new CopyOnWriteArrayList<>();

  /** Begins to monitor. */
  void start() {
    BackgroundThreads.start("stall monitor", this::monitor);
  }

  private void monitor() throws InterruptedException {
    long lastCheckNanos = System.nanoTime();
    while (true) {
      Thread.sleep(CHECK_INTERVAL_MILLIS);
      long nowNanos = System.nanoTime();
      if (nowNanos - lastCheckNanos > MIN_STALL_NANOS) {
        stalls.add(new Stall(lastCheckNanos, nowNanos));
      }
      lastCheckNanos = nowNanos;
    }
  }

  /** How long the emulator was stalled between two moments, in nanoseconds. */
  long stalledNanos(long fromNanos, long toNanos) {
    return stalls.stream().mapToLong(stall -> stall.overlapNanos(fromNanos, toNanos)).sum();
  }
}
