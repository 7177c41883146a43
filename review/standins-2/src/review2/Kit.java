package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the temporary folder, the edge nodes' processes and their end.
 *
 * <p>Exit status of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class Kit {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** The body of a case; returns whether the rule held. */
  interface Case {
    boolean run(Kit kit) throws Exception;
  }

  private static final long MAX_SECONDS = 110;

  /** Whether the disruption is made: not with TROUBLE=0 in the environment. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  final Path root;
  final Path temporary;
  final Random random = new Random();
  private final PrintWriter record;
  private final long startedNanos = System.nanoTime();
  private final List<Process> processes = new CopyOnWriteArrayList<>();

  private Kit(Path root, Path caseFolder) throws IOException {
    this.root = root;
    temporary = Files.createTempDirectory("review2-");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
  }

  /** Runs a case and ends the process; arguments: the repository's root, the case's folder. */
  static void main(String[] args, Case body) {
    int status = COULD_NOT_RUN;
    Kit kit = null;
    try {
      kit = new Kit(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath());
      Runtime.getRuntime().addShutdownHook(new Thread(kit::cleanUp));
      startWatchdog(kit);
      kit.log("disruption: " + (kit.trouble ? "made" : "left out (TROUBLE=0)"));
      status = body.run(kit) ? HELD : BROKEN;
      kit.log(status == HELD ? "RESULT: the rule held" : "RESULT: the rule was broken");
    } catch (Throwable e) {
      if (kit != null) {
        kit.log("RESULT: the case could not run: " + e);
      }
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static void startWatchdog(Kit kit) {
    daemon(
        () -> {
          sleep(MAX_SECONDS * 1_000);
          kit.log("RESULT: the case could not run: it took more than " + MAX_SECONDS + " s");
          System.exit(COULD_NOT_RUN);
        });
  }

  private void cleanUp() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
    synchronized (record) {
      record.flush();
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      System.err.println("cannot remove " + temporary + ": " + e);
    }
  }

  /** Returns the milliseconds since the start of the case. */
  double millis() {
    return (System.nanoTime() - startedNanos) / 1e6;
  }

  /** Writes a line to record.txt, and to standard output if it tells a result. */
  void log(String text) {
    String line = String.format(Locale.ROOT, "%10.1f ms  %s", millis(), text);
    synchronized (record) {
      record.println(line);
      record.flush();
    }
    if (text.startsWith("RESULT") || text.startsWith("COUNT")) {
      System.out.println(line);
    }
  }

  /** Fails the case with status 2 unless a condition of its own set-up holds. */
  static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException(what);
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static ServerSocket listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    return socket;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = listen()) {
      return socket.getLocalPort();
    }
  }

  /** Returns a text with all but visible ASCII characters and spaces as hex numbers. */
  static String visible(String text) {
    StringBuilder bytes = new StringBuilder();
    for (byte each : Agent.ascii(text)) {
      boolean shown = each >= ' ' && each < 127;
      bytes.append(shown ? String.valueOf((char) each) : String.format("<%02X>", each));
    }
    return bytes.toString();
  }

  /** Returns a fresh id of 16 hex digits. */
  synchronized String newId() {
    return String.format("%016x", random.nextLong());
  }

  /** Returns the command of the deploy file that starts an edge node. */
  String runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("no run command in deploy/balancer.toml");
  }

  /** An edge node, started with the deploy file's command. */
  final class Node {
    final String name;
    final int number;
    final int port;
    final Path configFile;
    final Path logFile;
    private Process process;
    double startedMillis;

    Node(int number) throws IOException {
      this.number = number;
      name = "n" + number;
      port = freePort();
      configFile = temporary.resolve(name + ".json");
      logFile = temporary.resolve(name + ".log");
    }

    /** Writes the configuration. */
    void configure(int nodes, int sockets, String discovery, String counter, String known)
        throws IOException {
      String text =
          Settings.NODE
              .replace("@NAME@", name)
              .replace("@NUMBER@", Integer.toString(number))
              .replace("@NODES@", Integer.toString(nodes))
              .replace("@PORT@", Integer.toString(port))
              .replace("@SOCKETS@", Integer.toString(sockets))
              .replace("@DISCOVERY@", discovery)
              .replace("@COUNTER@", counter)
              .replace("@SEED@", newId())
              .replace("@KNOWN@", known);
      Files.writeString(configFile, text);
    }

    void start() throws IOException {
      Path tmp = Files.createTempDirectory(temporary, "tmp");
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", runCommand())
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
      builder.environment().put("GW_CONFIG", configFile.toString());
      builder.environment().put("GW_NAME", name);
      builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("TMPDIR", tmp.toString());
      startedMillis = millis();
      process = builder.start();
      processes.add(process);
      Kit.this.log("node " + name + " started, pid " + process.pid() + ", port " + port);
    }

    boolean isAlive() {
      return process.isAlive();
    }

    /** Sends a signal to the program that `run` started (it has replaced the shell by exec). */
    void signal(String signal) throws IOException, InterruptedException {
      Kit.this.log("signal " + signal + " to node " + name);
      // The shell's own command: not every machine has it as a program.
      String command = "kill -" + signal + " " + process.pid();
      new ProcessBuilder("/bin/sh", "-c", command).start().waitFor();
    }

    void kill() throws InterruptedException {
      Kit.this.log("SIGKILL to node " + name);
      process.destroyForcibly().waitFor();
    }

    /** Waits until the health check responds with 200. */
    void awaitReady() throws IOException {
      double until = millis() + 40_000;
      while (millis() < until && process.isAlive()) {
        try (Client client = new Client(port)) {
          client.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
          Http.Message message = client.read(2_000);
          if (message != null && message.status() == 200) {
            Kit.this.log("node " + name + " is ready");
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(20);
      }
      throw new IOException("node " + name + " is not ready; its log: " + logText());
    }

    String logText() throws IOException {
      return Files.exists(logFile) ? Files.readString(logFile) : "";
    }

    /** Copies the node's log to the record. */
    void recordLog() throws IOException {
      for (String line : logText().split("\n")) {
        Kit.this.log("log of " + name + ": " + line);
      }
    }
  }

  /** Starts edge nodes of one fleet and waits until all are ready. */
  List<Node> startNodes(int count, int sockets, Agent agent, CounterServer counter)
      throws IOException {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Node node = new Node(i);
      node.configure(count, sockets, agent.address(), counter.address(), agent.wholeList());
      node.start();
      nodes.add(node);
    }
    for (Node node : nodes) {
      node.awaitReady();
    }
    return nodes;
  }
}
