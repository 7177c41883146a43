import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The usual clients of one edge node, behind their front: they send one request at a time on a
 * connection, keep their connections, and do not retry with a new id.
 */
final class Clients implements AutoCloseable {
  /** What became of a request. */
  static final class Result {
    final Request request;

    /** When the last byte was written; 0 if the request was never written whole. */
    volatile long sentNanos;

    volatile long answeredNanos;

    /** 0: no whole answer. */
    volatile int status;

    volatile String body = "";
    volatile String error = "";
    volatile boolean ended;

    Result(Request request) {
      this.request = request;
    }
  }

  private record Connection(Socket socket, BufferedInputStream in) {}

  private final Bed bed;
  private final int port;
  private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(null, task, "client", 256 * 1024);
    thread.setDaemon(true);
    return thread;
  });
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private final List<Result> results = new ArrayList<>();
  private volatile boolean stopped;

  Clients(Bed bed, int port) {
    this.bed = bed;
    this.port = port;
  }

  /** Sends requests at random times at a mean rate, until {@link #stop}. */
  void start(double perSecond, double keyedShare) {
    Bed.thread(
        () -> {
          long next = System.nanoTime();
          while (!stopped) {
            next += (long) (-Math.log(1 - ThreadLocalRandom.current().nextDouble()) / perSecond * 1e9);
            long wait = next - System.nanoTime();
            if (wait > 0) {
              Bed.sleep(wait / 1e9);
            }
            if (stopped) {
              return;
            }
            boolean keyed = ThreadLocalRandom.current().nextDouble() < keyedShare;
            // Many customers, each far below its quota.
            long customer = ThreadLocalRandom.current().nextLong(1_000, 9_000);
            send(new Request(keyed, keyed ? 2_500 : 1_500, customer, ""));
          }
        });
  }

  void stop() {
    stopped = true;
  }

  Result send(Request request) {
    Result result = new Result(request);
    synchronized (results) {
      results.add(result);
    }
    threads.execute(() -> run(result));
    return result;
  }

  List<Result> results() {
    synchronized (results) {
      return List.copyOf(results);
    }
  }

  private void run(Result result) {
    try {
      Connection kept;
      synchronized (idle) {
        kept = idle.poll();
      }
      // A close that crosses a request on a kept connection: it is sent once more on a new one.
      if (kept == null || !exchange(result, kept, true)) {
        exchange(result, connect(), false);
      }
    } catch (IOException e) {
      result.error = e.toString();
    }
    result.ended = true;
    bed.record(
        String.format(
            Locale.ROOT,
            "client of port %d: %s %s status=%d sent=%s took=%.4f %s",
            port, result.request.id, result.request.keyed ? "item-log" : "match-lookup",
            result.status, result.sentNanos == 0 ? "no" : String.format(Locale.ROOT, "%.4f", bed.seconds(result.sentNanos)),
            result.answeredNanos == 0 ? -1 : (result.answeredNanos - result.sentNanos) / 1e9, result.error));
  }

  private Connection connect() throws IOException {
    Socket socket = Bed.connect(port, 1_000);
    return new Connection(socket, new BufferedInputStream(socket.getInputStream()));
  }

  /** Returns false if the request has to be sent on a new connection. */
  private boolean exchange(Result result, Connection connection, boolean kept) throws IOException {
    Socket socket = connection.socket();
    Http answer;
    try {
      // An answer is worthless after this, and counts as lost half a second after its time.
      socket.setSoTimeout(result.request.timeoutMillis + 700);
      socket.getOutputStream().write(result.request.bytes());
      result.sentNanos = System.nanoTime();
      answer = Http.read(connection.in());
    } catch (IOException e) {
      socket.close();
      boolean timedOut = e instanceof java.net.SocketTimeoutException;
      if (kept && !timedOut && connection.in().available() == 0) {
        return false;
      }
      throw e;
    }
    if (answer == null) {
      socket.close();
      if (kept) {
        return false;
      }
      throw new IOException("closed without an answer");
    }
    result.answeredNanos = System.nanoTime();
    result.status = answer.status();
    result.body = new String(answer.body, java.nio.charset.StandardCharsets.UTF_8);
    if (answer.closes()) {
      socket.close();
    } else {
      synchronized (idle) {
        idle.push(connection);
      }
    }
    return true;
  }

  /** Waits until all requests have ended. */
  boolean awaitEnd(double seconds) {
    long end = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() - end < 0) {
      if (results().stream().allMatch(each -> each.ended)) {
        return true;
      }
      Bed.sleep(0.02);
    }
    return false;
  }

  @Override
  public void close() {
    stop();
  }
}
