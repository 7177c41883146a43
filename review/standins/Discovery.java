import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The agent of discovery: the whole list, and watches that tell changes at once. */
final class Discovery implements AutoCloseable {
  private final Bed bed;
  private final ServerSocket listener = Bed.listen();
  private final Map<String, String> current = new LinkedHashMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  private final Map<Long, String> changedIds = new TreeMap<>();
  private long revision;
  private int watchesToEnd;

  Discovery(Bed bed) throws IOException {
    this.bed = bed;
    Bed.thread(this::accept);
  }

  String address() {
    return Bed.hostPort(listener);
  }

  /** Publishes an entry; returns the System.nanoTime from which on it counts as told. */
  synchronized long publish(String id, String hostPort, String phase, long upSinceMs) {
    String entry = Json.entry(id, hostPort, phase, upSinceMs);
    revision++;
    if (phase.equals("Gone")) {
      current.remove(id);
    } else {
      current.put(id, entry);
    }
    changes.put(revision, entry);
    changedIds.put(revision, id);
    bed.record("discovery has revision " + revision + ": " + id + " " + phase);
    notifyAll();
    return System.nanoTime();
  }

  /** The next watches end after the head of their answer, without an object. */
  synchronized void endNextWatches(int count) {
    watchesToEnd = count;
  }

  synchronized String wholeList() {
    return Json.list(revision, true, new ArrayList<>(current.values()));
  }

  private synchronized String changesAfter(long after) {
    if (after > revision || changes.isEmpty() || after < changes.firstKey() - 1) {
      return wholeList();
    }
    Map<String, String> latest = new LinkedHashMap<>();
    changes.tailMap(after, false).forEach((key, entry) -> latest.put(changedIds.get(key), entry));
    return Json.list(revision, false, new ArrayList<>(latest.values()));
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Bed.thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Http request = Http.read(new BufferedInputStream(socket.getInputStream()));
      if (request == null) {
        return;
      }
      OutputStream out = socket.getOutputStream();
      if (!request.target().contains("watch=1")) {
        byte[] body = wholeList().getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        return;
      }
      watch(out, Long.parseLong(request.target().replaceAll(".*after=(\\d+).*", "$1")));
    } catch (IOException e) {
      // The edge node has closed the watch.
    }
  }

  private void watch(OutputStream out, long after) throws IOException {
    synchronized (this) {
      if (watchesToEnd > 0) {
        watchesToEnd--;
        bed.record("discovery ends a watch for changes after " + after + " instead of telling");
        return;
      }
    }
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    String text = changesAfter(after);
    long told = revisionOf(text);
    bed.record("discovery answers a watch for changes after " + after + " with revision " + told);
    chunk(out, text);
    while (!listener.isClosed()) {
      synchronized (this) {
        if (revision == told) {
          try {
            wait(2_000);
          } catch (InterruptedException e) {
            return;
          }
        }
        text = revision == told ? "" : changesAfter(told);
      }
      told = text.isEmpty() ? told : revisionOf(text);
      chunk(out, text);
    }
  }

  private static long revisionOf(String text) {
    return Long.parseLong(text.replaceAll("^.\"revision\":(\\d+),.*", "$1"));
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
    List<byte[]> parts =
        List.of((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII), bytes,
            "\r\n".getBytes(StandardCharsets.US_ASCII));
    java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.write(part);
    }
    out.write(all.toByteArray());
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    synchronized (this) {
      notifyAll();
    }
  }
}
