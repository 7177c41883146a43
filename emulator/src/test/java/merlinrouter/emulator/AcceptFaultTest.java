package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinrouter.emulator.fleet.Errno;
import merlinrouter.emulator.fleet.FaultShim.Fault;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.fleet.NodeProcess.Signal;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.peer.BackgroundThreads;
import merlinrouter.emulator.peer.Client;
import merlinrouter.emulator.peer.UpstreamServer.Behavior;
import merlinrouter.emulator.peer.UpstreamServer.Reaction;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import org.junit.jupiter.api.Test;

/** Tests responses, forwarded timeouts and the shutdown of a node whose calls of accept fail. */
class AcceptFaultTest extends NodeFaultTestBase {
  /**
   * Shorter than Netty's pause after a failed accept (1 s): a client delayed by the pause would get
   * its response after the slow one.
   */
  private static final long SLOW_RESPONSE_MILLIS = 900;

  private static final Duration MAX_SHUTDOWN = Duration.ofSeconds(60);

  @Test
  void clientAcceptedAfterFailedAcceptIsServedWithoutDelay() throws Exception {
    Fleet.Node node =
        startNode(
            id ->
                new Reaction(
                    Behavior.RESPOND, fleet.requests().isMarked(id) ? SLOW_RESPONSE_MILLIS : 0));
    for (Errno error : List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS)) {
      Client slowClient = newClient(node);
      assertServed(exchange(slowClient, RequestClass.IDEMPOTENT));
      RequestRecord slowRequest = newRequest(RequestClass.IDEMPOTENCY_KEY);
      fleet.requests().mark(slowRequest.id());
      Thread slowExchange =
          BackgroundThreads.start("slow client", () -> slowClient.exchange(slowRequest));
      node.shim().failNext(Fault.ACCEPT, 1, error);
      RequestRecord newRequest = exchange(newClient(node), RequestClass.IDEMPOTENT);
      slowExchange.join();
      assertServed(newRequest);
      assertServed(slowRequest);
      assertTrue(
          newRequest.endedAtNanos() - slowRequest.endedAtNanos() < 0,
          error + ": " + newRequest + " ended after " + slowRequest);
    }
  }

  @Test
  void forwardedTimeoutExcludesTimeSpentWaitingForAccept() throws Exception {
    Fleet.Node node = startNode(respondImmediately());
    assertServed(exchange(newClient(node), RequestClass.IDEMPOTENT));
    node.shim().failNext(Fault.ACCEPT, 60, Errno.EMFILE);
    RequestRecord request = exchange(newClient(node), RequestClass.IDEMPOTENT);
    assertServed(request);
    assertEquals(List.of(), new InvariantChecker(0).check(request));
  }

  @Test
  void gracefulShutdownServesConnectionsDelayedByFailedAccept() throws Exception {
    Fleet.Node node = startNode(respondImmediately());
    assertServed(exchange(newClient(node), RequestClass.IDEMPOTENT));
    node.shim().failNext(Fault.ACCEPT, 1, Errno.ENFILE);
    List<Client> clients = new ArrayList<>();
    List<RequestRecord> requests = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Client client = newClient(node);
      RequestRecord request = newRequest(RequestClass.IDEMPOTENT);
      client.send(request);
      clients.add(client);
      requests.add(request);
    }
    node.process().signal(Signal.TERM);
    List<Thread> receivers = new ArrayList<>();
    for (int i = 0; i < clients.size(); i++) {
      Client client = clients.get(i);
      RequestRecord request = requests.get(i);
      receivers.add(BackgroundThreads.start("client", () -> client.receive(request)));
    }
    for (Thread receiver : receivers) {
      receiver.join();
    }
    for (RequestRecord request : requests) {
      assertEquals(ClientOutcome.RESPONDED, request.outcome(), request.toString());
    }
    assertTrue(node.process().awaitExit(MAX_SHUTDOWN));
    assertEquals(0, node.process().exitStatus());
  }
}
