package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The program in a process of its own, whose signals and output lines a test can use. */
final class NodeProcess implements AutoCloseable {
  /** Starts of the lines that the program writes. */
  static final String SERVING = "serving on ";

  static final String WARMED_UP = "warmed up with ";
  static final String RELOAD_POSTPONED = "the configuration will be read again";
  static final String RELOAD_FAILED = "the configuration stays as it was";

  static final String HANGUP_IGNORED = "SIGHUP is ignored";

  private static final long EXIT_TIMEOUT_SECONDS = 60;
  private static final long LINE_TIMEOUT_SECONDS = 60;

  private final Process process;

  /** Lines that were written and not read yet; an empty one behind the last. */
  private final BlockingQueue<Optional<String>> unread = new LinkedBlockingQueue<>();

  private final List<String> read = new ArrayList<>();

  private NodeProcess(Process process) {
    this.process = process;
    Thread reader = new Thread(this::readOutput, "output of " + process.pid());
    reader.setDaemon(true);
    reader.start();
  }

  private void readOutput() {
    InputStreamReader output =
        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8);
    try (BufferedReader lines = new BufferedReader(output)) {
      lines.lines().forEach(line -> unread.add(Optional.of(line)));
    } catch (IOException | UncheckedIOException e) {
      unread.add(Optional.of("the output cannot be read: " + e));
    }
    unread.add(Optional.empty());
  }

  /** Starts the program from the test's class path, with no flags of the JVM. */
  static NodeProcess start(Path configFile, Map<String, String> environment) throws IOException {
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "merlinrouter.Main",
            "serve");
    return start(command, configFile, environment);
  }

  /** Starts a shell script that may take the test's class path from {@code $CLASSES}. */
  static NodeProcess startScript(String script, Path configFile) throws IOException {
    return start(
        List.of("/bin/sh", "-c", script),
        configFile,
        Map.of("CLASSES", System.getProperty("java.class.path")));
  }

  private static NodeProcess start(
      List<String> command, Path configFile, Map<String, String> environment) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", configFile.toString());
    builder.environment().putAll(environment);
    return new NodeProcess(builder.start());
  }

  /**
   * Reads the next line of standard output or error; null at the end. Fails if none is written for
   * a long time.
   */
  String readLine() throws InterruptedException {
    Optional<String> line = unread.poll(LINE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(line, () -> "no further line after " + read);
    return lineOrEnd(line);
  }

  private String lineOrEnd(Optional<String> line) {
    if (line.isEmpty()) {
      unread.add(line);
      return null;
    }
    read.add(line.get());
    return line.get();
  }

  /** The lines not read yet; the stream waits for further ones until the process ends. */
  Stream<String> lines() {
    return Stream.generate(this::takeLine).takeWhile(Objects::nonNull);
  }

  private String takeLine() {
    try {
      return lineOrEnd(unread.take());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Skips lines until one starts with {@code start}, and returns it. */
  String awaitLine(String start) throws InterruptedException {
    String line = readLine();
    while (line != null && !line.startsWith(start)) {
      line = readLine();
    }
    assertNotNull(line, () -> "the process ended before it wrote: " + start + ": " + read);
    return line;
  }

  /** Waits until the node serves and returns where. */
  InetSocketAddress awaitServing() throws InterruptedException {
    return addressOf(awaitLine(SERVING));
  }

  /** The address in a line that starts with {@link #SERVING}. */
  static InetSocketAddress addressOf(String line) {
    String[] hostAndPort = line.replaceAll(".*/", "").split(":");
    return new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
  }

  /** Sends SIGHUP. */
  void sendHangup() throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    assertEquals(0, kill.waitFor());
  }

  /** How many processes the program has started that still run. */
  long childCount() {
    return process.descendants().count();
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    process.destroy();
    assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "SIGTERM had no effect");
    return process.exitValue();
  }

  /** Kills the process if it still runs. */
  @Override
  public void close() {
    process.destroyForcibly();
  }
}
