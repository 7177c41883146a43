import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What all cases share: the record, the temporary folder, the clock and the clean-up. */
final class Bed implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  /** A case: returns {@link #BROKEN}, {@link #HELD} or {@link #COULD_NOT_RUN}. */
  interface Case {
    int run(Bed bed) throws Exception;
  }

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root;
  final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<AutoCloseable> resources = new ArrayList<>();

  /** Arguments: the repository's root and the case's folder, which receives record.txt. */
  Bed(String root, String caseFolder) throws IOException {
    this.root = Path.of(root).toAbsolutePath();
    folder = Files.createTempDirectory("merlinrouter-review");
    record =
        new PrintWriter(
            Files.newBufferedWriter(Path.of(caseFolder, "record.txt"), StandardCharsets.UTF_8));
    record("TROUBLE=" + (trouble ? 1 : 0));
    // Also ends the edge nodes if this process is told to end.
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Runs a case and exits with its result; a fault of the case itself counts as not run. */
  static void main(String[] arguments, Case test) {
    int status = COULD_NOT_RUN;
    try (Bed bed = new Bed(arguments[0], arguments[1])) {
      status = test.run(bed);
      bed.say("exit " + status);
    } catch (Throwable e) {
      status = COULD_NOT_RUN;
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(status);
  }

  double seconds() {
    return seconds(System.nanoTime());
  }

  double seconds(long nanoTime) {
    return (nanoTime - startNanos) / 1e9;
  }

  void record(String line) {
    synchronized (record) {
      record.printf(Locale.ROOT, "%9.4f %s%n", seconds(), line);
    }
  }

  /** Writes a line to the record and to standard output. */
  void say(String line) {
    record(line);
    System.out.println(line);
  }

  <T extends AutoCloseable> T add(T resource) {
    synchronized (resources) {
      resources.add(resource);
    }
    return resource;
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep(Math.round(seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread thread(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
  }

  static String hostPort(ServerSocket socket) {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = listen()) {
      return socket.getLocalPort();
    }
  }

  static Socket connect(int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
    return socket;
  }

  @Override
  public void close() {
    synchronized (resources) {
      for (int i = resources.size() - 1; i >= 0; i--) {
        try {
          resources.get(i).close();
        } catch (Exception e) {
          record("close: " + e);
        }
      }
      resources.clear();
    }
    synchronized (record) {
      record.flush();
    }
    try (Stream<Path> files = Files.exists(folder) ? Files.walk(folder) : Stream.empty()) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
