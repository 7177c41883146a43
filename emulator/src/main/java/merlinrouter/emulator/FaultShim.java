package merlinrouter.emulator;

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
 * System-call faults and wall-clock steps of one process, through the preloaded library {@code
 * faultshim.c}.
 */
final class FaultShim {
  private static final int SLOTS_PER_FAULT = 4;
  private static final int NEXT = 0;
  private static final int EVERY = 1;
  private static final int ERROR = 2;
  private static final int HITS = 3;

  /** The calls that can be made to fail, in the order of the library's slots. */
  enum Call {
    ACCEPT,
    SOCKET,
    CONNECT,
    EPOLL_WAIT,
    SHORT_READ,
    SHORT_WRITE,
    READ,
    WRITE,
    BIND,
    OPEN
  }

  private final Path library;
  private final Path controlFile;
  private final LongBuffer control;

  /** Compiles the library into {@code folder} and lays out a control file there. */
  FaultShim(Path source, Path folder) throws IOException, InterruptedException {
    library = folder.resolve("faultshim.so");
    if (!Files.exists(library)) {
      compile(source, library);
    }
    controlFile = Files.createTempFile(folder, "faultshim", ".control");
    long bytes = (1 + (long) Call.values().length * SLOTS_PER_FAULT) * Long.BYTES;
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      MappedByteBuffer mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
      control = mapped.order(ByteOrder.nativeOrder()).asLongBuffer();
    }
  }

  private static void compile(Path source, Path library) throws IOException, InterruptedException {
    Path fresh = Files.createTempFile(library.getParent(), "faultshim", ".build");
    Process gcc =
        new ProcessBuilder(
                "gcc",
                "-O2",
                "-Wall",
                "-Werror",
                "-shared",
                "-fPIC",
                "-o",
                fresh.toString(),
                source.toString(),
                "-ldl")
            .inheritIO()
            .start();
    if (gcc.waitFor() != 0) {
      throw new IOException("gcc could not compile " + source);
    }
    Files.move(fresh, library, StandardCopyOption.ATOMIC_MOVE);
  }

  /** The environment that has a process load the library. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "FAULT_SHIM_CONTROL", controlFile.toString());
  }

  /** Moves the wall clock by so much against the true time; the monotonic clock stays. */
  void setWallClockOffset(Duration offset) {
    control.put(0, offset.toNanos());
  }

  /**
   * Has the next {@code count} calls fail with an errno, or move at most {@code parameter} bytes.
   */
  void failNext(Call call, long count, long parameter) {
    control.put(slot(call) + ERROR, parameter);
    control.put(slot(call) + NEXT, count);
  }

  /** Has each call whose number is a multiple of {@code every} fail; 0 for none. */
  void failEvery(Call call, long every, long parameter) {
    control.put(slot(call) + ERROR, parameter);
    control.put(slot(call) + EVERY, every);
  }

  /** Ends all faults but the clock's. */
  void calm() {
    for (Call call : Call.values()) {
      control.put(slot(call) + EVERY, 0);
      control.put(slot(call) + NEXT, 0);
    }
  }

  /** How many calls have failed so far. */
  long hits(Call call) {
    return control.get(slot(call) + HITS);
  }

  private static int slot(Call call) {
    return 1 + call.ordinal() * SLOTS_PER_FAULT;
  }
}
