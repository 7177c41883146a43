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

/** The faults of a run with their times, in memory and in a file. Any thread may call. */
final class FaultLog {
  private static final String FILE_NAME = "faults.log";

  private final Path file;
  private final long startedAtNanos = System.nanoTime();
  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Integer> countsByKind = Collections.synchronizedMap(new TreeMap<>());

  /** Creates a log in a folder; its times count from now. */
  FaultLog(Path folder) {
    file = folder.resolve(FILE_NAME);
  }

  /** Records that a fault begins. */
  void begins(Enum<?> kind, String details) {
    countsByKind.merge(kind.name(), 1, Integer::sum);
    add(kind + " " + details);
  }

  /** Records a step of a fault that has begun. */
  void add(String text) {
    String line = millisSinceStart(System.nanoTime()) + " ms: " + text;
    lines.add(line);
    try {
      Files.writeString(file, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A moment of {@link System#nanoTime} in milliseconds since the log's start. */
  long millisSinceStart(long momentNanos) {
    return TimeUnit.NANOSECONDS.toMillis(momentNanos - startedAtNanos);
  }

  /** All lines so far. */
  List<String> lines() {
    return List.copyOf(lines);
  }

  /** How many faults of each kind have begun. */
  Map<String, Integer> countsByKind() {
    return new TreeMap<>(countsByKind);
  }
}
