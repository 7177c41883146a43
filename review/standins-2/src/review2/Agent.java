package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent: watches of the list of match servers, as the protocol page describes them. */
final class Agent {
  /** Writes one object of a watch; the default writes it at once, in one chunk. */
  interface Writer {
    void write(OutputStream out, String text) throws IOException;
  }

  private record Change(long revision, String entry) {}

  private final Kit kit;
  private final ServerSocket listener = Kit.listen();
  private final Map<String, String> members = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision = 1;
  volatile Writer writer = Agent::writeChunk;
  volatile int watches;

  Agent(Kit kit) throws IOException {
    this.kit = kit;
    Kit.daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  static String entry(String id, String address, String phase) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + address
        + "\",\"locality\":\"cleveland-dc\",\"flavor\":\"std-2core\",\"cell\":1,\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":0}";
  }

  /** Publishes the phase of a match server: Ready, Terminating or Gone. */
  synchronized void publish(MatchServer server, String phase) {
    publishAll(List.of(server), phase);
  }

  /** Publishes the phase of several match servers in one change. */
  synchronized void publishAll(List<MatchServer> servers, String phase) {
    revision++;
    for (MatchServer server : servers) {
      String entry = entry(server.id, server.address(), phase);
      if (phase.equals("Gone")) {
        members.remove(server.id);
      } else {
        members.put(server.id, entry);
      }
      changes.add(new Change(revision, entry));
      kit.log("discovery: " + server.id + " is " + phase + " (revision " + revision + ")");
    }
    notifyAll();
  }

  synchronized String wholeList() {
    return object(revision, true, new ArrayList<>(members.values()));
  }

  private static String object(long revision, boolean complete, List<String> entries) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", entries)
        + "]}";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Kit.daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The case ends.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Http.Message call = Http.read(socket.getInputStream());
      if (call == null) {
        return;
      }
      String uri = call.firstLine().split(" ")[1];
      kit.log("discovery: " + uri);
      OutputStream out = socket.getOutputStream();
      if (!uri.contains("watch=1")) {
        String list = wholeList();
        out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
        return;
      }
      watches++;
      watch(out, Long.parseLong(uri.replaceAll(".*after=", "")));
    } catch (IOException e) {
      // The node has closed the watch, or the case ends it.
    }
  }

  private void watch(OutputStream out, long after) throws IOException {
    out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    // The first object has the changes after that version.
    long told = after;
    boolean first = true;
    while (true) {
      String text = nextObject(told, first);
      if (text == null) {
        writeChunk(out, "\n");
      } else {
        told = Long.parseLong(text.replaceAll("^\\{\"revision\":(\\d+),.*", "$1"));
        first = false;
        writer.write(out, text + "\n");
      }
    }
  }

  /** Waits up to 2 s for changes; null if there are none. */
  private synchronized String nextObject(long told, boolean first) {
    long until = System.nanoTime() + 2_000_000_000L;
    while (!first && revision == told && System.nanoTime() < until) {
      try {
        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    if (!first && revision == told) {
      return null;
    }
    List<String> entries =
        changes.stream().filter(each -> each.revision > told).map(Change::entry).toList();
    return object(revision, false, entries);
  }

  static void writeChunk(OutputStream out, String text) throws IOException {
    out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    out.flush();
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
