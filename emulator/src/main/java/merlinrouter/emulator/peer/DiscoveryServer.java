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

  /** Few enough to be filled soon when connections must not be established. */
  private static final int BACKLOG_CONNECTIONS = 64;

  private static final String WATCH_RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private record VersionedEntry(EndpointEntry entry, long revision) {}

  private final Map<String, VersionedEntry> entries = new LinkedHashMap<>();
  private long revision = 1;
  private boolean unresponsive;

  /** The form of the current outage; null without one, and while merely unresponsive. */
  private DiscoveryOutage outage;

  /** Connections of an earlier generation stay open and silent. */
  private int generation;

  private final AtomicReference<ListDelivery> listDelivery =
      new AtomicReference<>(ListDelivery.AT_ONCE);

  /** The full list at the moment when the server last became unresponsive. */
  private String lastSentList = "";

  /** Starts the server with an empty list. */
  public DiscoveryServer() throws IOException {
    super(BACKLOG_CONNECTIONS);
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

  /**
   * Starts an outage, in which nothing is sent on open watches. Connections that are open at its
   * end stay silent as long as they last.
   */
  public void startOutage(DiscoveryOutage form) throws IOException {
    synchronized (this) {
      setUnresponsive(true);
      outage = form;
    }
    if (form == DiscoveryOutage.RESET) {
      resetConnections();
    } else if (form == DiscoveryOutage.NEVER_UP) {
      pauseAccepting();
    }
  }

  /** Ends an outage. */
  public void endOutage() throws IOException {
    resumeAccepting();
    synchronized (this) {
      outage = null;
      silenceConnections();
      setUnresponsive(false);
    }
  }

  /** Lets all open connections stay open and silent; further ones are served. */
  public synchronized void silenceConnections() {
    generation++;
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
    int ownGeneration = generation();
    HttpMessage request = HttpMessage.read(socket.getInputStream());
    if (request == null) {
      return;
    }
    DiscoveryOutage form = outage();
    if (form != null) {
      respondInOutage(socket, form);
      return;
    }
    awaitResponsive();
    if (generation() != ownGeneration) {
      awaitEnd(socket);
      return;
    }
    OutputStream out = socket.getOutputStream();
    if (DiscoveryProtocol.isWatch(request)) {
      serveWatch(socket, DiscoveryProtocol.knownRevision(request), ownGeneration);
    } else {
      HttpMessage.write(out, HttpMessage.response(HttpMessage.STATUS_OK, "", fullList()));
    }
  }

  private synchronized DiscoveryOutage outage() {
    return outage;
  }

  private synchronized int generation() {
    return generation;
  }

  private void respondInOutage(Socket socket, DiscoveryOutage form)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    switch (form) {
      case RESET -> reset(socket);
      case HEAD_ALONE -> HttpMessage.write(out, WATCH_RESPONSE_HEAD);
      case HALF_A_LIST -> {
        HttpMessage.write(out, WATCH_RESPONSE_HEAD);
        ListDelivery.cutShort(false).write(out, fullList());
      }
      default -> {
        // Nothing is sent.
      }
    }
    if (form != DiscoveryOutage.RESET) {
      awaitEnd(socket);
    }
  }

  /** Waits until the node closes a connection on which nothing more is sent. */
  private static void awaitEnd(Socket socket) throws IOException {
    while (socket.getInputStream().read() >= 0) {
      // What the node sends is ignored.
    }
  }

  /** Sends changes, one line each, until the watch's connection ends or it is silenced. */
  private void serveWatch(Socket socket, long firstKnownRevision, int ownGeneration)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    HttpMessage.write(out, WATCH_RESPONSE_HEAD);
    long knownRevision = firstKnownRevision;
    while (true) {
      String line;
      synchronized (this) {
        line = changesSince(knownRevision) + "\n";
        knownRevision = revision;
      }
      ListDelivery delivery = listDelivery.get();
      if (!delivery.write(out, line)) {
        if (!delivery.closes()) {
          awaitEnd(socket);
        }
        return;
      }
      awaitChange(knownRevision, ownGeneration);
      if (generation() != ownGeneration) {
        awaitEnd(socket);
        return;
      }
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
   * responsive, or until the watch is silenced.
   */
  private synchronized void awaitChange(long knownRevision, int ownGeneration)
      throws InterruptedException {
    long heartbeatAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS);
    while (generation == ownGeneration && (unresponsive || revision == knownRevision)) {
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
