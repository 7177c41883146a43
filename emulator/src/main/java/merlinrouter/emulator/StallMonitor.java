package merlinrouter.emulator;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Notes when the emulator's own threads were not run in time, on a busy machine or by a pause of
 * its virtual machine: what its clients and servers noted then is late by as much, and is no proof
 * against a node.
 */
final class StallMonitor {
  private static final long TURN_MILLIS = 5;
  private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private record Stall(long from, long to) {}

  private final List<Stall> stalls = new CopyOnWriteArrayList<>();

  /** Begins to watch. */
  void start() {
    Threads.daemon(
        "stall monitor",
        () -> {
          long last = System.nanoTime();
          while (true) {
            Thread.sleep(TURN_MILLIS);
            long now = System.nanoTime();
            if (now - last > LEAST_NANOS) {
              stalls.add(new Stall(last, now));
            }
            last = now;
          }
        });
  }

  /** How long the emulator was stalled between two moments, in nanoseconds. */
  long stalledBetween(long from, long to) {
    long total = 0;
    for (Stall stall : stalls) {
      total += Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from));
    }
    return total;
  }
}
