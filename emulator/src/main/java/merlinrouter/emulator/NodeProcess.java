package merlinrouter.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One real edge node, started with the deploy file's {@code run} command. */
final class NodeProcess implements AutoCloseable {
  private static final Duration POLL = Duration.ofMillis(20);

  private final Path root;
  private final Path configFile;
  private final Path log;
  private final Map<String, String> environment;
  private final int port;
  private Process process;

  /** A node that listens on {@code port}, with its configuration and log in {@code folder}. */
  NodeProcess(Path root, Path folder, String name, int port, Map<String, String> environment) {
    this.root = root;
    this.port = port;
    this.environment = environment;
    configFile = folder.resolve(name + ".json");
    log = folder.resolve(name + ".log");
  }

  /** Replaces the configuration file; takes effect at the next start or hang-up. */
  void configure(String json) throws IOException {
    Path fresh = Files.createTempFile(configFile.getParent(), "config", ".json");
    Files.writeString(fresh, json);
    Files.move(fresh, configFile, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts the process; it is not ready when this returns. */
  void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand(root))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().putAll(environment);
    builder.environment().put("GW_CONFIG", configFile.toAbsolutePath().toString());
    process = builder.start();
  }

  private static String runCommand(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.length() - 1);
      }
    }
    throw new IOException("deploy/balancer.toml has no run command");
  }

  /** Waits until the health check answers 200; false if it does not within {@code patience}. */
  boolean awaitReady(Duration patience) throws InterruptedException {
    long deadline = System.nanoTime() + patience.toNanos();
    while (System.nanoTime() - deadline < 0 && process.isAlive()) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(POLL.toMillis());
    }
    return false;
  }

  private boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(
              "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      HttpMessage answer = HttpMessage.read(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal by name, such as {@code HUP}. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the process to end; false if it does not within {@code patience}. */
  boolean awaitExit(Duration patience) throws InterruptedException {
    return process.waitFor(patience.toMillis(), TimeUnit.MILLISECONDS);
  }

  int exitValue() {
    return process.exitValue();
  }

  int port() {
    return port;
  }

  /** What the process has written so far. */
  String logText() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
