package merlinrouter.emulator.peer;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Emulates discovery: serves the endpoint list and watches of its changes. */
public final class DiscoveryServer extends LoopbackServer {
  /** Interval of the empty lines that are sent on a watch while nothing changes. */
  private static final long HEARTBEAT_MILLIS = 2_000;

  /** How long a watch stays open after a list that was cut short without an end. */
  private static final long SILENT_WATCH_MILLIS = 60_000;

  private record VersionedEntry(EndpointEntry entry, long revision) {}

  private final Map<String, VersionedEntry> entries = new LinkedHashMap<>();
  private long revision = 1;
  private boolean unresponsive;
  private final AtomicReference<ListDelivery> listDelivery =
      new AtomicReference<>(ListDelivery.AT_ONCE);

  /** The full list at the moment when the server last became unresponsive. */
  private String lastSentList = "";

  /** Starts the server with an empty list. */
  public DiscoveryServer() throws IOException {
    start();
  }

  /** Adds or changes an entry under a new revision. */
  public synchronized void publish(EndpointEntry changed) {
    revision++;
    entries.put(changed.id(), new VersionedEntry(changed, revision));
    notifyAll();
  }

  /**
   * Sets whether the server is unresponsive. While it is, it accepts connections but sends nothing,
   * not even on open watches.
   */
  public synchronized void setUnresponsive(boolean unresponsive) {
    if (unresponsive && !this.unresponsive) {
      lastSentList = fullList();
    }
    this.unresponsive = unresponsive;
    notifyAll();
  }

  /** Sets how the lists that are written from now on are delivered. */
  public void setListDelivery(ListDelivery delivery) {
    listDelivery.set(delivery);
  }

  /** Lets lists be delivered at once again, unless another delivery has been set meanwhile. */
  public void resetListDelivery(ListDelivery previous) {
    listDelivery.compareAndSet(previous, ListDelivery.AT_ONCE);
  }

  /**
   * Returns the latest full list, as JSON, that a node can have received: the current one or, while
   * the server is unresponsive, the one from before.
   */
  public synchronized String lastSentList() {
    return unresponsive ? lastSentList : fullList();
  }

  /** Returns the full list as JSON, without removed endpoints. */
  public synchronized String fullList() {
    List<EndpointEntry> listed =
        entries.values().stream()
            .map(VersionedEntry::entry)
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

  /** Sends changes, one line each, until the watch's connection ends. */
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
      ListDelivery delivery = listDelivery.get();
      if (!delivery.write(out, line)) {
        endWatch(delivery);
        return;
      }
      awaitChange(knownRevision);
    }
  }

  private static void endWatch(ListDelivery delivery) throws InterruptedException {
    if (!delivery.closes()) {
      // The node closes the connection; this thread ends with the server.
      Thread.sleep(SILENT_WATCH_MILLIS);
    }
  }

  /**
   * Returns the changes as JSON, or an empty string if there are none. The caller holds the lock.
   */
  private String changesSince(long knownRevision) {
    List<EndpointEntry> changed = new ArrayList<>();
    for (VersionedEntry versioned : entries.values()) {
      if (versioned.revision() > knownRevision) {
        changed.add(versioned.entry());
      }
    }
    return changed.isEmpty() ? "" : DiscoveryProtocol.endpointList(revision, false, changed);
  }

  /**
   * Waits until there is a change or a heartbeat is due, and in any case until the server is
   * responsive.
   */
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
