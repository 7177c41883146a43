package merlinrouter.emulator.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.peer.EndpointEntry;
import merlinrouter.emulator.peer.UpstreamServer;
import merlinrouter.emulator.peer.UpstreamServer.Behavior;
import merlinrouter.emulator.peer.UpstreamServer.Reaction;

/** The upstream servers of a soak test that are not draining. Thread-safe. */
final class SoakUpstreams {
  private static final long RESPONSE_DELAY_MILLIS = 15;
  private static final long STARTED_LONG_AGO = 0;

  /**
   * An upstream server whose behavior can be changed by any thread.
   *
   * @param server the server
   * @param behavior how it treats requests
   */
  record Upstream(UpstreamServer server, AtomicReference<Behavior> behavior) {}

  private final Fleet fleet;
  private final InvariantChecker checker;
  private final LatenessMonitor lateness;
  private final List<Upstream> ready = new ArrayList<>();

  /** Starts upstream servers and publishes that they were started long ago. */
  SoakUpstreams(Fleet fleet, InvariantChecker checker, LatenessMonitor lateness, int count)
      throws IOException {
    this.fleet = fleet;
    this.checker = checker;
    this.lateness = lateness;
    for (int i = 0; i < count; i++) {
      add(STARTED_LONG_AGO);
    }
  }

  /** Drains two thirds of the servers and starts as many new ones. */
  synchronized void replaceMost() throws IOException {
    int replacedCount = ready.size() * 2 / 3;
    for (Upstream old : List.copyOf(ready.subList(0, replacedCount))) {
      replace(old);
    }
  }

  private void add(long startedAtUnixMillis) throws IOException {
    AtomicReference<Behavior> behavior = new AtomicReference<>(Behavior.RESPOND);
    UpstreamServer server =
        fleet.addUpstream(
            requestId -> new Reaction(behavior.get(), RESPONSE_DELAY_MILLIS), startedAtUnixMillis);
    lateness.monitor(server.id());
    ready.add(new Upstream(server, behavior));
  }

  /** Selects one of the servers that are not draining. */
  synchronized Upstream pick(int selector) {
    return ready.get(selector % ready.size());
  }

  /**
   * Drains a server and starts a new one, unless it is the only one that is not draining or drains
   * already.
   */
  synchronized void replace(Upstream old) throws IOException {
    if (ready.size() == 1 || !ready.remove(old)) {
      return;
    }
    checker.endpointDraining(old.server().id(), System.nanoTime());
    fleet.publish(old.server(), EndpointEntry.State.DRAINING, STARTED_LONG_AGO);
    add(System.currentTimeMillis());
  }
}
