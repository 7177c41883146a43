import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A real edge node, started with the `run` command of deploy/balancer.toml. */
final class EdgeNode implements AutoCloseable {
  private final Bed bed;
  final String name;
  final int port;
  private final Path config;
  private final Path log;
  private final String discovery;
  private Process process;
  private int starts;

  EdgeNode(Bed bed, String name, int port, String discovery) {
    this.bed = bed;
    this.name = name;
    this.port = port;
    this.discovery = discovery;
    config = bed.folder.resolve(name + ".json");
    log = bed.folder.resolve(name + ".log");
  }

  /** Replaces the configuration file. */
  void configure(String json) throws IOException {
    Path next = bed.folder.resolve(name + ".next");
    Files.writeString(next, json);
    Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
  }

  /** Starts the process; returns the System.nanoTime just after that. */
  long start() throws IOException {
    starts++;
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand())
            .directory(bed.root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    Path temporary = Files.createDirectory(bed.folder.resolve(name + "-tmp" + starts));
    builder.environment().put("TMPDIR", temporary.toString());
    builder.environment().put("GW_NAME", name);
    builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("GW_DISCOVERY", discovery);
    builder.environment().put("GW_CONFIG", config.toString());
    process = builder.start();
    long now = System.nanoTime();
    bed.record(name + " started, process " + process.pid());
    return now;
  }

  private String runCommand() throws IOException {
    for (String line : Files.readAllLines(bed.root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/balancer.toml has no run command");
  }

  /** Waits until GET /_health answers 200. */
  boolean awaitReady(double seconds) throws IOException {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() - end < 0 && process.isAlive()) {
      try (Socket socket = Bed.connect(port, 500)) {
        socket.setSoTimeout(500);
        socket.getOutputStream()
            .write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        Http answer = Http.read(socket.getInputStream());
        if (answer != null && answer.status() == 200) {
          bed.record(name + " is ready");
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Bed.sleep(0.02);
    }
    return false;
  }

  void signal(String signal) throws IOException, InterruptedException {
    bed.record(name + " gets SIG" + signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
  }

  /** Kills the process outright and waits for its end. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
    bed.record(name + " was killed");
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.destroyForcibly();
      process.onExit().completeOnTimeout(process, 10, TimeUnit.SECONDS).join();
      bed.record(name + "'s log:\n" + log());
    }
  }
}
