package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.function.BooleanSupplier;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.peer.Client;
import merlinrouter.emulator.peer.UpstreamServer;
import merlinrouter.emulator.peer.UpstreamServer.Behavior;
import merlinrouter.emulator.peer.UpstreamServer.Reaction;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests of a real node process whose system calls fail temporarily, which must not
 * affect any request.
 */
@Timeout(NodeFaultTestBase.TEST_TIMEOUT_SECONDS)
abstract class NodeFaultTestBase {
  static final int TEST_TIMEOUT_SECONDS = 180;

  /** The checkout whose built program is tested. */
  static final Path ROOT = Path.of(System.getProperty("merlinrouter.root", ".."));

  static final long REQUEST_TIMEOUT_MILLIS = 2_400;

  private static final int STATUS_OK = 200;
  private static final int MAX_POLLS = 600;
  private static final long POLL_INTERVAL_MILLIS = 20;

  @TempDir Path folder;
  Fleet fleet;

  @BeforeEach
  void startPeers() throws Exception {
    fleet = new Fleet(ROOT, folder);
  }

  @AfterEach
  void close() throws Exception {
    fleet.close();
  }

  /** Starts an upstream server for each script, and then one node, which it returns. */
  Fleet.Node startNode(UpstreamServer.Script... scripts) throws Exception {
    for (UpstreamServer.Script script : scripts) {
      fleet.addUpstream(script, 0);
    }
    fleet.startNodes(1);
    return fleet.nodes().get(0);
  }

  /** Returns the script of an upstream server that responds immediately. */
  static UpstreamServer.Script respondImmediately() {
    return respondAfter(0);
  }

  /** Returns the script of an upstream server that responds after a delay. */
  static UpstreamServer.Script respondAfter(long delayMillis) {
    return requestId -> new Reaction(Behavior.RESPOND, delayMillis);
  }

  /** Returns a new request to the only node, not yet sent. */
  RequestRecord newRequest(RequestClass requestClass) {
    return fleet
        .requests()
        .register(fleet.nodes().get(0).name(), requestClass, REQUEST_TIMEOUT_MILLIS);
  }

  /** Sends a request and waits until it ends. */
  RequestRecord exchange(Client client, RequestClass requestClass) throws Exception {
    RequestRecord request = newRequest(requestClass);
    client.exchange(request);
    return request;
  }

  /** Sends requests of all classes in turn, each of which must be served. */
  void exchangeAllClasses(Client client, int requests) throws Exception {
    RequestClass[] classes = RequestClass.values();
    for (int i = 0; i < requests; i++) {
      assertServed(exchange(client, classes[i % classes.length]));
    }
  }

  /** Sends requests until a condition holds; fails if it does not after the maximum of polls. */
  void exchangeUntil(Client client, BooleanSupplier condition, String message) throws Exception {
    pollUntil(condition, () -> exchange(client, RequestClass.IDEMPOTENT));
    assertTrue(condition.getAsBoolean(), message);
  }

  /** An action between two checks of a condition. */
  interface Step {
    void run() throws Exception;
  }

  /** Repeats a step until a condition holds or the maximum of polls is reached. */
  static void pollUntil(BooleanSupplier condition, Step step) throws Exception {
    for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
      step.run();
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /** Returns a new client of a node. */
  static Client newClient(Fleet.Node node) {
    return new Client(node.process().port());
  }

  /** Asserts that a request received the response that an upstream server sent for it. */
  static void assertServed(RequestRecord request) {
    assertEquals(ClientOutcome.RESPONDED, request.outcome(), request.toString());
    assertEquals(STATUS_OK, request.status(), request.toString());
    assertEquals(request.expectedBody(), request.body(), request.toString());
  }
}
