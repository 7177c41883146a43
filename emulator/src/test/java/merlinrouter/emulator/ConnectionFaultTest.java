package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.emulator.fleet.Errno;
import merlinrouter.emulator.fleet.FaultShim.Fault;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.peer.Client;
import merlinrouter.emulator.peer.UpstreamServer.Behavior;
import merlinrouter.emulator.peer.UpstreamServer.Reaction;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import org.junit.jupiter.api.Test;

/**
 * Tests interrupted and partial reads and writes, and connections that are reset before a response
 * without a length is complete.
 */
class ConnectionFaultTest extends NodeFaultTestBase {
  private static final int REQUESTS = 100;
  private static final int REQUESTS_WITHOUT_LENGTH = 40;
  private static final int MAX_SHORT_CALL_BYTES = 7;
  private static final int STATUS_BAD_GATEWAY = 502;

  @Test
  void interruptedWaitsAndPartialReadsAndWritesLoseNoRequest() throws Exception {
    Fleet.Node node = startNode(respondImmediately(), respondImmediately());
    node.shim().failEvery(Fault.EPOLL_WAIT, 3, Errno.EINTR);
    node.shim().shortenEvery(Fault.SHORT_READ, 2, MAX_SHORT_CALL_BYTES);
    node.shim().shortenEvery(Fault.SHORT_WRITE, 2, MAX_SHORT_CALL_BYTES);
    exchangeAllClasses(newClient(node), REQUESTS);
  }

  @Test
  void interruptedReadDoesNotEndConnection() throws Exception {
    Fleet.Node node = startNode(respondImmediately(), respondImmediately());
    node.shim().failEvery(Fault.READ, 5, Errno.EINTR);
    exchangeAllClasses(newClient(node), REQUESTS);
  }

  /** Without the retry, a temporary lack of buffers in the system costs clients their responses. */
  @Test
  void failedWriteOfResponseIsRetried() throws Exception {
    Fleet.Node node = startNode(respondImmediately(), respondImmediately());
    Client client = newClient(node);
    node.shim().failEvery(Fault.WRITE, 3, Errno.ENOBUFS);
    for (int i = 0; i < REQUESTS; i++) {
      RequestRecord request = exchange(client, RequestClass.IDEMPOTENT);
      assertEquals(ClientOutcome.RESPONDED, request.outcome(), request.toString());
    }
  }

  @Test
  void responseWithoutLengthIsForwardedOnlyAfterOrderlyClose() throws Exception {
    Fleet.Node node =
        startNode(
            id ->
                new Reaction(
                    fleet.requests().isMarked(id)
                        ? Behavior.RESET_AFTER_BODY_WITHOUT_LENGTH
                        : Behavior.RESPOND_WITHOUT_LENGTH,
                    0));
    Client client = newClient(node);
    exchangeAllClasses(client, REQUESTS_WITHOUT_LENGTH);
    for (int i = 0; i < REQUESTS_WITHOUT_LENGTH; i++) {
      RequestRecord request = newRequest(RequestClass.NON_IDEMPOTENT);
      fleet.requests().mark(request.id());
      client.exchange(request);
      assertEquals(ClientOutcome.RESPONDED, request.outcome(), request.toString());
      assertEquals(STATUS_BAD_GATEWAY, request.status(), request.toString());
    }
  }
}
