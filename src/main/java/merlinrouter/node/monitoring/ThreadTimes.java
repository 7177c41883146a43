package merlinrouter.node.monitoring;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import merlinrouter.time.Nanos;

/**
 * CPU times of the event loop's thread and of the JVM threads that can delay it, the garbage
 * collector's and the C1 compiler's, from the scheduler statistics of Linux. If the threads cannot
 * be listed at the start, their times are reported as unknown; if the statistics cannot be read,
 * for example for lack of a file descriptor, as unchanged. Used on the event loop only.
 */
final class ThreadTimes {
  private static final Path THIS_THREAD = Path.of("/proc/thread-self");
  private static final Path THREADS = Path.of("/proc/self/task");
  private static final String NAME_FILE = "comm";
  private static final String STATISTICS_FILE = "schedstat";

  /** Names of JVM threads, cut off at the 15 characters that Linux keeps. */
  private static final List<String> JVM_THREADS = List.of("VM Thread", "C1 CompilerThre");

  private static final int MAX_STATISTICS_BYTES = 128;

  /**
   * Times of a thread since its start.
   *
   * @param ranNanos how long it ran on a core
   * @param waitedNanos how long it was runnable and waited for a core
   */
  private record Times(long ranNanos, long waitedNanos) {
    static final Times UNKNOWN = new Times(0, 0);
  }

  /** A sampled thread, and its times when they were last read. */
  private static final class SampledThread {
    private final String name;
    private final String statisticsFile;
    private Times last = Times.UNKNOWN;

    SampledThread(String name, Path folder) {
      this.name = name;
      statisticsFile = folder.resolve(STATISTICS_FILE).toString();
    }
  }

  private final byte[] buffer = new byte[MAX_STATISTICS_BYTES];
  private final List<SampledThread> threads = new ArrayList<>();
  private long sampledAtNanos = System.nanoTime();

  /** Starts sampling the calling thread, as the event loop's, and the JVM threads. */
  void start() {
    try {
      Path ownFolder = THREADS.resolve(Files.readSymbolicLink(THIS_THREAD).getFileName());
      threads.add(new SampledThread("event loop", ownFolder));
      Map<String, Path> foldersByName = foldersByThreadName();
      for (String name : JVM_THREADS) {
        if (foldersByName.containsKey(name)) {
          threads.add(new SampledThread(name, foldersByName.get(name)));
        }
      }
    } catch (IOException e) {
      threads.clear();
    }
    sample();
  }

  private static Map<String, Path> foldersByThreadName() throws IOException {
    Map<String, Path> foldersByName = new LinkedHashMap<>();
    try (Stream<Path> folders = Files.list(THREADS)) {
      for (Path folder : folders.toList()) {
        foldersByName.putIfAbsent(Files.readString(folder.resolve(NAME_FILE)).strip(), folder);
      }
    }
    return foldersByName;
  }

  /** Takes a sample, which {@link #describeSinceSample} counts from, if the last one is older. */
  void sampleIfOlderThan(long ageNanos) {
    if (System.nanoTime() - sampledAtNanos > ageNanos) {
      sample();
    }
  }

  private void sample() {
    for (SampledThread thread : threads) {
      thread.last = read(thread);
    }
    sampledAtNanos = System.nanoTime();
  }

  /** Returns the threads' times since the last sample, for a log line, and takes a new sample. */
  String describeSinceSample() {
    if (threads.isEmpty()) {
      return "threads unknown";
    }
    StringBuilder text = new StringBuilder("in the last ");
    text.append((System.nanoTime() - sampledAtNanos) / Nanos.PER_MILLI).append(" ms");
    for (SampledThread thread : threads) {
      Times now = read(thread);
      text.append(", ").append(thread.name).append(" ran ");
      text.append((now.ranNanos - thread.last.ranNanos) / Nanos.PER_MILLI);
      text.append(" and waited ");
      text.append((now.waitedNanos - thread.last.waitedNanos) / Nanos.PER_MILLI);
      thread.last = now;
    }
    sampledAtNanos = System.nanoTime();
    return text.toString();
  }

  /** Returns a thread's current times, or those last read if the statistics cannot be read. */
  private Times read(SampledThread thread) {
    try (FileInputStream file = new FileInputStream(thread.statisticsFile)) {
      int length = file.read(buffer);
      String[] fields =
          new String(buffer, 0, Math.max(0, length), StandardCharsets.US_ASCII).strip().split(" ");
      return new Times(Long.parseLong(fields[0]), Long.parseLong(fields[1]));
    } catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException e) {
      return thread.last;
    }
  }
}
