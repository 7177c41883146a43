package merlinrouter.emulator.peer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads how long threads have been runnable without running on a CPU, from the kernel's scheduler
 * statistics. Unlike a separate probe thread, this measures the thread that was late.
 */
final class CpuWait {
  /**
   * Contains the time on a CPU and the time waiting for one, both in nanoseconds, and the number of
   * time slices.
   */
  private static final Path CURRENT_THREAD = Path.of("/proc/thread-self/schedstat");

  private static final int WAITED_FIELD = 1;

  private CpuWait() {}

  /**
   * Returns how long the current thread has waited for a CPU since its start, in nanoseconds; 0 if
   * the kernel does not provide it.
   */
  static long ofCurrentThreadNanos() {
    try {
      return waitedNanos(Files.readString(CURRENT_THREAD));
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the wait in a line of {@code schedstat}, in nanoseconds. */
  static long waitedNanos(String schedstat) {
    return Long.parseLong(schedstat.strip().split(" ")[WAITED_FIELD]);
  }
}
