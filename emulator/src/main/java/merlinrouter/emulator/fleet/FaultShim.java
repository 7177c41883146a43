package merlinrouter.emulator.fleet;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * Injects faults into the system calls and the wall clock of one process, through the preloaded
 * library {@code faultshim.c}. Both sides map the same control file, whose layout the library
 * defines.
 */
public final class FaultShim {
  /** The kinds of fault, in the order of the library's fault slots. */
  public enum Fault {
    /** A TCP connection cannot be accepted. */
    ACCEPT,
    /** A TCP socket cannot be created. */
    SOCKET,
    /** A TCP connection cannot be opened. */
    CONNECT,
    /** A wait for events fails. */
    EPOLL_WAIT,
    /** A read from a TCP connection returns only some of the available bytes. */
    SHORT_READ,
    /** A write to a TCP connection takes only some of the bytes. */
    SHORT_WRITE,
    /** A read from a TCP connection fails. */
    READ,
    /** A write to a TCP connection fails. */
    WRITE,
    /** A TCP socket cannot be bound. */
    BIND,
    /** A configuration file cannot be opened. */
    OPEN
  }

  /** Index of the control file's wall clock offset, which is in nanoseconds. */
  private static final int WALL_CLOCK_OFFSET_INDEX = 0;

  private static final int FIRST_FAULT_INDEX = 1;

  // Layout of a fault's slot: the number of its values and the index of each.
  private static final int VALUES_PER_FAULT = 4;
  private static final int REMAINING = 0;
  private static final int INTERVAL = 1;
  private static final int PARAMETER = 2;
  private static final int INJECTED = 3;

  private final Path library;
  private final Path controlFile;
  private final LongBuffer control;

  /**
   * Compiles the library, unless the folder already contains it, and creates a control file.
   *
   * @param source the library's source
   * @param folder where both files are created
   */
  public FaultShim(Path source, Path folder) throws IOException, InterruptedException {
    library = folder.resolve("faultshim.so");
    if (!Files.exists(library)) {
      compile(source, library);
    }
    controlFile = Files.createTempFile(folder, "faultshim", ".control");
    long values = FIRST_FAULT_INDEX + (long) Fault.values().length * VALUES_PER_FAULT;
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      MappedByteBuffer mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, values * Long.BYTES);
      control = mapped.order(ByteOrder.nativeOrder()).asLongBuffer();
    }
  }

  private static void compile(Path source, Path library) throws IOException, InterruptedException {
    Path compiled = Files.createTempFile(library.getParent(), "faultshim", ".build");
    Process gcc =
        new ProcessBuilder(
                "gcc",
                "-O2",
                "-Wall",
                "-Werror",
                "-shared",
                "-fPIC",
                "-o",
                compiled.toString(),
                source.toString(),
                "-ldl")
            .inheritIO()
            .start();
    if (gcc.waitFor() != 0) {
      throw new IOException("gcc could not compile " + source);
    }
    Files.move(compiled, library, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Returns the environment variables that make a process load the library. */
  public Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "FAULT_SHIM_CONTROL", controlFile.toString());
  }

  /** Sets the wall clock's offset from the true time; the monotonic clock is unchanged. */
  public void setWallClockOffset(Duration offset) {
    control.put(WALL_CLOCK_OFFSET_INDEX, offset.toNanos());
  }

  /** Makes the next {@code count} calls fail with an error. */
  public void failNext(Fault fault, long count, Errno error) {
    control.put(slot(fault) + PARAMETER, error.number());
    control.put(slot(fault) + REMAINING, count);
  }

  /** Makes every {@code interval}-th call fail with an error. */
  public void failEvery(Fault fault, long interval, Errno error) {
    control.put(slot(fault) + PARAMETER, error.number());
    control.put(slot(fault) + INTERVAL, interval);
  }

  /**
   * Makes every {@code interval}-th call transfer at most {@code maxBytes}.
   *
   * @param fault {@link Fault#SHORT_READ} or {@link Fault#SHORT_WRITE}
   */
  public void shortenEvery(Fault fault, long interval, int maxBytes) {
    if (fault != Fault.SHORT_READ && fault != Fault.SHORT_WRITE) {
      throw new IllegalArgumentException("expected SHORT_READ or SHORT_WRITE, not " + fault);
    }
    control.put(slot(fault) + PARAMETER, maxBytes);
    control.put(slot(fault) + INTERVAL, interval);
  }

  /** Stops a fault that {@link #failEvery} or {@link #shortenEvery} started. */
  public void stopPeriodic(Fault fault) {
    control.put(slot(fault) + INTERVAL, 0);
  }

  /** Returns how many times a fault has been injected so far. */
  public long injected(Fault fault) {
    return control.get(slot(fault) + INJECTED);
  }

  private static int slot(Fault fault) {
    return FIRST_FAULT_INDEX + fault.ordinal() * VALUES_PER_FAULT;
  }
}
