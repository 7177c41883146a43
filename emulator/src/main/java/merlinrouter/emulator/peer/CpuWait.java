package merlinrouter.emulator.peer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * How long threads have been ready to run while no CPU ran them, by the kernel's account. Unlike a
 * probe, it tells of the very thread that was late.
 */
final class CpuWait {
  /** Holds the time on a CPU, the time waiting for one, both in nanoseconds, and a count. */
  private static final Path CURRENT_THREAD = Path.of("/proc/thread-self/schedstat");

  private static final int WAITED_FIELD = 1;

  private CpuWait() {}

  /** The present thread's wait since its start, in nanoseconds; 0 where the kernel keeps none. */
  static long ofCurrentThreadNanos() {
    try {
      return waitedNanos(Files.readString(CURRENT_THREAD));
    } catch (IOException e) {
      return 0;
    }
  }

  /** The wait that a line of {@code schedstat} tells, in nanoseconds. */
  static long waitedNanos(String schedstat) {
    return Long.parseLong(schedstat.strip().split(" ")[WAITED_FIELD]);
  }
}
