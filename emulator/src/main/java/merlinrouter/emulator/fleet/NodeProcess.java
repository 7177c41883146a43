package merlinrouter.emulator.fleet;

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
import merlinrouter.emulator.peer.HttpMessage;

/** An edge node process, started with the {@code run} command of {@code deploy/balancer.toml}. */
public final class NodeProcess implements AutoCloseable {
  /** Signals that can be sent to a node. */
  public enum Signal {
    /** Reloads the configuration. */
    HUP,
    /** Starts a graceful shutdown. */
    TERM,
    /** Pauses the process. */
    STOP,
    /** Resumes a paused process. */
    CONT
  }

  private static final String DEPLOYMENT_FILE = "deploy/balancer.toml";
  private static final String RUN_COMMAND_PREFIX = "run = \"";
  private static final String HEALTH_REQUEST = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
  private static final long READY_POLL_MILLIS = 20;
  private static final int HEALTH_TIMEOUT_MILLIS = 1_000;
  private static final int STATUS_OK = 200;

  private final Path root;
  private final Path configFile;
  private final Path logFile;
  private final Map<String, String> environment;
  private final int port;
  private Process process;

  /**
   * Prepares a node without starting it.
   *
   * @param root the checkout with the built program
   * @param folder contains its configuration and log files
   * @param name base name of these files
   * @param port the loopback port that the node listens on
   * @param environment further environment variables
   */
  public NodeProcess(
      Path root, Path folder, String name, int port, Map<String, String> environment) {
    this.root = root;
    this.port = port;
    this.environment = environment;
    configFile = folder.resolve(name + ".json");
    logFile = folder.resolve(name + ".log");
  }

  /** Replaces the configuration file, which takes effect at the next start or reload. */
  public void configure(NodeConfig config) throws IOException {
    Path replacement = Files.createTempFile(configFile.getParent(), "config", ".json");
    Files.writeString(replacement, config.toJson());
    Files.move(replacement, configFile, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts the process without waiting until it is ready. */
  public void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand())
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
    builder.environment().putAll(environment);
    builder.environment().put("GW_CONFIG", configFile.toAbsolutePath().toString());
    process = builder.start();
  }

  private String runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve(DEPLOYMENT_FILE))) {
      if (line.startsWith(RUN_COMMAND_PREFIX)) {
        return line.substring(RUN_COMMAND_PREFIX.length(), line.length() - 1);
      }
    }
    throw new IOException(DEPLOYMENT_FILE + " has no run command");
  }

  /**
   * Waits until the node's health check responds with 200. Returns false if the process ends first
   * or the timeout expires.
   */
  public boolean awaitReady(Duration timeout) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() - deadlineNanos < 0 && process.isAlive()) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(READY_POLL_MILLIS);
    }
    return false;
  }

  private boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), HEALTH_TIMEOUT_MILLIS);
      socket.setSoTimeout(HEALTH_TIMEOUT_MILLIS);
      socket.getOutputStream().write(HEALTH_REQUEST.getBytes(StandardCharsets.US_ASCII));
      HttpMessage response = HttpMessage.read(socket.getInputStream());
      return response != null && response.status() == STATUS_OK;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal to the process. */
  public void signal(Signal signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the process to end; returns false if it does not end within the timeout. */
  public boolean awaitExit(Duration timeout) throws InterruptedException {
    return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the exit status of the process, which must have ended. */
  public int exitStatus() {
    return process.exitValue();
  }

  /** Returns the loopback port that the node listens on. */
  public int port() {
    return port;
  }

  /** Returns what the process has written to its standard output and error so far. */
  public String log() throws IOException {
    return Files.exists(logFile) ? Files.readString(logFile) : "";
  }

  /** Kills the process. */
  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
