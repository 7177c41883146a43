package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import merlinrouter.emulator.fleet.Errno;
import merlinrouter.emulator.fleet.FaultShim.Fault;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.peer.Client;
import merlinrouter.emulator.peer.UpstreamServer;
import merlinrouter.emulator.request.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests a node that cannot open connections to its peers because of local failures. */
class ConnectFaultTest extends NodeFaultTestBase {
  private static final int SOCKET_FAILURES = 24;

  @Test
  void attemptIsRetriedAfterLocalSocketFailure() throws Exception {
    Fleet.Node node = startNode(respondImmediately());
    for (Errno error : List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS)) {
      failNextUpstreamConnection(node, Fault.SOCKET, error);
    }
  }

  @Test
  void attemptIsRetriedAfterLocalConnectFailureAndEndpointIsNotEjected() throws Exception {
    Fleet.Node node = startNode(respondImmediately());
    UpstreamServer upstream = fleet.upstreams().get(0);
    for (Errno error : List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS)) {
      failNextUpstreamConnection(node, Fault.CONNECT, error);
      String log = node.process().log();
      // The node logs the id of an endpoint only if the endpoint sent an incomplete response,
      // became an outlier, or recovered.
      assertFalse(
          log.contains(upstream.id()),
          error + " is a local failure but was attributed to the endpoint: " + log);
    }
  }

  /** Makes the node's next connection to its only upstream server fail during a request. */
  private void failNextUpstreamConnection(Fleet.Node node, Fault fault, Errno error)
      throws Exception {
    // Opens the connections to the counter, so that the next one is to the upstream server.
    assertServed(exchange(newClient(node), RequestClass.IDEMPOTENT));
    fleet.proxy(fleet.upstreams().get(0)).resetConnectionsAndWait();
    node.shim().failNext(fault, 1, error);
    assertServed(exchange(newClient(node), RequestClass.NON_IDEMPOTENT));
  }

  @Test
  void discoveryAndCounterReconnectAfterSocketFailures() throws Exception {
    Fleet.Node node = startNode(respondImmediately());
    assertServed(exchange(newClient(node), RequestClass.IDEMPOTENT));
    node.shim().failNext(Fault.SOCKET, SOCKET_FAILURES, Errno.ENFILE);
    fleet.discovery().resetConnections();
    fleet.counter().resetConnections();
    Client client = newClient(node);
    exchangeUntil(
        client,
        () -> node.shim().injected(Fault.SOCKET) == SOCKET_FAILURES,
        "the node tried to open fewer than " + SOCKET_FAILURES + " sockets");
    UpstreamServer added = fleet.addUpstream(respondImmediately(), 0);
    long calls = fleet.counter().calls();
    exchangeUntil(
        client,
        () -> fleet.requests().attemptsAt(added.id()) > 0,
        "the node forwarded no request to the new endpoint");
    exchangeUntil(
        client,
        () -> fleet.counter().calls() > calls,
        "the node did not call the counter after the socket failures");
  }
}
