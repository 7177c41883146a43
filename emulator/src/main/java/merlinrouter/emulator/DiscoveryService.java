package merlinrouter.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's stand-in: the list of match servers and watches of its changes. */
final class DiscoveryService extends LoopbackServer {
  /** What the list says of a server. */
  enum Phase {
    READY("Ready"),
    TERMINATING("Terminating"),
    GONE("Gone");

    private final String text;

    Phase(String text) {
      this.text = text;
    }
  }

  /** An entry of the list; {@code startedAtMillis} is Unix time, 0 for long ago. */
  record Member(
      String id, String address, String zone, int cell, Phase phase, long startedAtMillis) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long HEARTBEAT_MILLIS = 2_000;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Map<String, Long> changedIn = new LinkedHashMap<>();
  private long revision = 1;
  private boolean silent;

  DiscoveryService() throws IOException {
    start();
  }

  /** Adds or changes entries under one new revision. */
  synchronized void publish(Member... changed) {
    revision++;
    for (Member member : changed) {
      members.put(member.id(), member);
      changedIn.put(member.id(), revision);
    }
    notifyAll();
  }

  /** While silent it takes connections and says nothing; open watches fall silent too. */
  synchronized void setSilent(boolean silent) {
    this.silent = silent;
    notifyAll();
  }

  /** The whole list as JSON, without what is gone. */
  synchronized String snapshot() {
    return message(true, members.values().stream().filter(m -> m.phase() != Phase.GONE).toList());
  }

  private String message(boolean complete, List<Member> entries) {
    ObjectNode root = JSON.createObjectNode().put("revision", revision).put("complete", complete);
    ArrayNode list = root.putArray("members");
    for (Member member : entries) {
      list.addObject()
          .put("id", member.id())
          .put("host_port", member.address())
          .put("locality", member.zone())
          .put("flavor", "standard")
          .put("cell", member.cell())
          .put("phase", member.phase().text)
          .put("size", 1.0)
          .put("up_since_ms", member.startedAtMillis());
    }
    return root.toString();
  }

  @Override
  void serve(Socket socket) throws IOException, InterruptedException {
    HttpMessage request = HttpMessage.read(socket.getInputStream());
    if (request == null) {
      return;
    }
    awaitSpeech();
    OutputStream out = socket.getOutputStream();
    if (!request.path().contains("watch=1")) {
      String list = snapshot();
      write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
      return;
    }
    long known = Long.parseLong(request.path().replaceAll(".*after=(\\d+).*", "$1"));
    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (true) {
      String line;
      synchronized (this) {
        line = changesSince(known);
        known = revision;
      }
      write(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
      awaitChange(known);
    }
  }

  /** The changes as JSON; an empty line where there are none. */
  private String changesSince(long known) {
    List<Member> changed = new ArrayList<>();
    members.values().stream().filter(m -> changedIn.get(m.id()) > known).forEach(changed::add);
    return changed.isEmpty() ? "" : message(false, changed);
  }

  private synchronized void awaitChange(long known) throws InterruptedException {
    long until = System.nanoTime() + HEARTBEAT_MILLIS * 1_000_000L;
    while (silent || revision == known) {
      long left = (until - System.nanoTime()) / 1_000_000L;
      if (left <= 0 && !silent) {
        return;
      }
      wait(Math.max(1, silent ? HEARTBEAT_MILLIS : left));
    }
  }

  private synchronized void awaitSpeech() throws InterruptedException {
    while (silent) {
      wait();
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
