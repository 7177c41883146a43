package merlinrouter.emulator.peer;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Emulates discovery: the endpoint list and watches of its changes. */
public final class DiscoveryServer extends LoopbackServer {
  /** A watch on which nothing changes sends an empty line as often as this. */
  private static final long HEARTBEAT_MILLIS = 2_000;

  private record Versioned(EndpointEntry entry, long revision) {}

  private final Map<String, Versioned> entries = new LinkedHashMap<>();
  private long revision = 1;
  private boolean unresponsive;

  /** The full list as of the last moment at which it could be sent. */
  private String lastSentList = "";

  /** Starts the server with an empty list. */
  public DiscoveryServer() throws IOException {
    start();
  }

  /** Adds or changes an entry under a new revision. */
  public synchronized void publish(EndpointEntry changed) {
    revision++;
    entries.put(changed.id(), new Versioned(changed, revision));
    notifyAll();
  }

  /** While unresponsive it accepts connections and sends nothing, on open watches neither. */
  public synchronized void setUnresponsive(boolean unresponsive) {
    if (unresponsive && !this.unresponsive) {
      lastSentList = fullList();
    }
    this.unresponsive = unresponsive;
    notifyAll();
  }

  /**
   * The full list as JSON that a node can have received last: the present one, or while
   * unresponsive the one from before.
   */
  public synchronized String lastSentList() {
    return unresponsive ? lastSentList : fullList();
  }

  /** The full list as JSON, without removed endpoints. */
  public synchronized String fullList() {
    List<EndpointEntry> listed =
        entries.values().stream()
            .map(Versioned::entry)
            .filter(entry -> entry.state() != EndpointEntry.State.REMOVED)
            .toList();
    return DiscoveryProtocol.endpointList(revision, true, listed);
  }

  @Override
  void serve(Socket socket) throws IOException, InterruptedException {
    HttpMessage request = HttpMessage.read(socket.getInputStream());
    if (request == null) {
      return;
    }
    awaitResponsive();
    OutputStream out = socket.getOutputStream();
    if (DiscoveryProtocol.isWatch(request)) {
      serveWatch(out, DiscoveryProtocol.knownRevision(request));
    } else {
      HttpMessage.write(out, HttpMessage.response(HttpMessage.STATUS_OK, "", fullList()));
    }
  }

  /** Sends changes, one line a chunk, until the watch's connection ends. */
  private void serveWatch(OutputStream out, long firstKnownRevision)
      throws IOException, InterruptedException {
    HttpMessage.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    long knownRevision = firstKnownRevision;
    while (true) {
      String line;
      synchronized (this) {
        line = changesSince(knownRevision) + "\n";
        knownRevision = revision;
      }
      HttpMessage.write(out, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
      awaitChange(knownRevision);
    }
  }

  /** The changes as JSON; empty where there are none. The caller holds the lock. */
  private String changesSince(long knownRevision) {
    List<EndpointEntry> changed = new ArrayList<>();
    for (Versioned versioned : entries.values()) {
      if (versioned.revision() > knownRevision) {
        changed.add(versioned.entry());
      }
    }
    return changed.isEmpty() ? "" : DiscoveryProtocol.endpointList(revision, false, changed);
  }

  /** Waits for a change or the next heartbeat; while unresponsive, for the end of that too. */
  private synchronized void awaitChange(long knownRevision) throws InterruptedException {
    long heartbeatAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS);
    while (unresponsive || revision == knownRevision) {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(heartbeatAtNanos - System.nanoTime());
      if (remainingMillis <= 0 && !unresponsive) {
        return;
      }
      wait(unresponsive ? HEARTBEAT_MILLIS : remainingMillis);
    }
  }

  private synchronized void awaitResponsive() throws InterruptedException {
    while (unresponsive) {
      wait();
    }
  }
}
