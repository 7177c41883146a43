package merlinrouter.emulator.soak;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.peer.BackgroundThreads;

/** Runs tasks after a delay, on daemon threads. */
final class Timers implements AutoCloseable {
  private static final int THREADS = 4;

  private final ScheduledExecutorService executor =
      Executors.newScheduledThreadPool(
          THREADS,
          task -> {
            Thread thread = new Thread(task, "soak timers");
            thread.setDaemon(true);
            return thread;
          });

  /** Runs a task after a delay, unless this is closed first; exceptions of the task are ignored. */
  void schedule(long delayMillis, BackgroundThreads.Task task) {
    executor.schedule(
        () -> {
          task.run();
          return null;
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Cancels all tasks. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
