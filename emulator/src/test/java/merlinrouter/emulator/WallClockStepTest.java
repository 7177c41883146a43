package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.peer.BackgroundThreads;
import merlinrouter.emulator.peer.Client;
import merlinrouter.emulator.peer.UpstreamServer;
import merlinrouter.emulator.request.RequestClass;
import org.junit.jupiter.api.Test;

/**
 * Tests a node whose wall clock steps. Endpoints report their start as wall-clock time. If the node
 * converted it with the clock offset from before a step back by an hour, an endpoint that has just
 * started would count as started an hour ago and get no slow start.
 */
class WallClockStepTest extends NodeFaultTestBase {
  private static final long RESPONSE_DELAY_MILLIS = 10;
  private static final int CLIENTS = 8;
  private static final int REQUESTS = 400;
  private static final int MAX_REQUESTS_IN_SLOW_START = 40;

  @Test
  void endpointStartedAfterWallClockStepGetsSlowStart() throws Exception {
    UpstreamServer.Script script = respondAfter(RESPONSE_DELAY_MILLIS);
    Fleet.Node node = startNode(script, script, script, script);
    exchangeInParallel(node);
    for (Duration step : List.of(Duration.ofHours(-1), Duration.ofHours(1))) {
      node.shim().setWallClockOffset(step);
      // Upstream servers report their start time by the same wall clock that the node reads.
      UpstreamServer started =
          fleet.addUpstream(script, System.currentTimeMillis() + step.toMillis());
      exchangeInParallel(node);
      long attempts = fleet.requests().attemptsAt(started.id());
      assertTrue(
          attempts <= MAX_REQUESTS_IN_SLOW_START,
          step
              + ": "
              + attempts
              + " of "
              + REQUESTS
              + " requests were forwarded to an endpoint that had just started");
    }
  }

  private void exchangeInParallel(Fleet.Node node) throws Exception {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Client client = newClient(node);
      threads.add(BackgroundThreads.start("client", () -> exchangeSequentially(client)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void exchangeSequentially(Client client) throws InterruptedException {
    for (int i = 0; i < REQUESTS / CLIENTS; i++) {
      client.exchange(newRequest(RequestClass.IDEMPOTENT));
    }
  }
}
