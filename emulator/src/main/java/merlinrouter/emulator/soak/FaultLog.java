package merlinrouter.emulator.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Records the faults of a run with their times, in memory and in a file. Thread-safe. */
final class FaultLog {
  private static final String FILE_NAME = "faults.log";

  private final Path file;
  private final long startedAtNanos = System.nanoTime();
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Integer> countsByKind = Collections.synchronizedMap(new TreeMap<>());

  /** Creates a log in a folder, whose times are measured from now. */
  FaultLog(Path folder) {
    file = folder.resolve(FILE_NAME);
  }

  /** Records the start of a fault. */
  void recordStart(Enum<?> kind, String details) {
    countsByKind.merge(kind.name(), 1, Integer::sum);
    recordStep(kind + " " + details);
  }

  /** Records a later step of a fault that has started. */
  void recordStep(String text) {
    String line = millisSinceStart(System.nanoTime()) + " ms: " + text;
    lines.add(line);
    try {
      Files.writeString(file, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Converts a {@link System#nanoTime} value to milliseconds since the log's start. */
  long millisSinceStart(long timeNanos) {
    return TimeUnit.NANOSECONDS.toMillis(timeNanos - startedAtNanos);
  }

  /** Returns all lines so far. */
  List<String> lines() {
    return List.copyOf(lines);
  }

  /** Returns the number of faults of each kind that have started. */
  Map<String, Integer> countsByKind() {
    return new TreeMap<>(countsByKind);
  }
}
