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

/** Runs the program in its own process, so that a test can send signals and read its output. */
final class NodeProcess implements AutoCloseable {
  /** Prefixes of the lines that the program writes. */
  static final String SERVING = "serving on ";

  static final String WARMED_UP = "warmed up with ";

  /** Starts the lines of the log about watches of the endpoint list. */
  static final String WATCH = "watch ";

  static final String RELOAD_POSTPONED = "configuration reload postponed";
  static final String RELOAD_FAILED =
      "configuration reload failed, the previous configuration stays in effect";

  static final String HANGUP_IGNORED = "SIGHUP is ignored";

  private static final long EXIT_TIMEOUT_SECONDS = 60;
  private static final long LINE_TIMEOUT_SECONDS = 60;

  private final Process process;

  /** Lines that were written and not read yet; an empty value marks the end of the output. */
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
      unread.add(Optional.of("cannot read the output: " + e));
    }
    unread.add(Optional.empty());
  }

  /** Starts the program from the test's class path, without JVM flags. */
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
   * Reads the next line of standard output or error; null at the end of the output. Fails if none
   * is written within 60 s.
   */
  String readLine() throws InterruptedException {
    Optional<String> line = unread.poll(LINE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(line, () -> "no line within " + LINE_TIMEOUT_SECONDS + " s after " + read);
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

  /** Returns a stream of the unread lines, which waits for more until the process ends. */
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

  /** Reads lines until one starts with {@code prefix}, and returns that line. */
  String awaitLine(String prefix) throws InterruptedException {
    String line = readLine();
    while (line != null && !line.startsWith(prefix)) {
      line = readLine();
    }
    assertNotNull(
        line, () -> "the process ended before a line with the prefix " + prefix + ": " + read);
    return line;
  }

  /** Waits until the node serves, and returns its address. */
  InetSocketAddress awaitServing() throws InterruptedException {
    return addressOf(awaitLine(SERVING));
  }

  /** Returns the address in a line that starts with {@link #SERVING}. */
  static InetSocketAddress addressOf(String line) {
    String[] hostAndPort = line.replaceAll(".*/", "").split(":");
    return new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
  }

  /** Sends SIGHUP. */
  void sendHangup() throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    assertEquals(0, kill.waitFor());
  }

  /** Returns how many descendants of the process are running. */
  long childCount() {
    return process.descendants().count();
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    process.destroy();
    assertTrue(
        process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
        "the process did not exit within " + EXIT_TIMEOUT_SECONDS + " s of SIGTERM");
    return process.exitValue();
  }

  /** Kills the process if it is still running. */
  @Override
  public void close() {
    process.destroyForcibly();
  }
}
