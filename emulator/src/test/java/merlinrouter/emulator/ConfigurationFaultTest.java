package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinrouter.emulator.fleet.Errno;
import merlinrouter.emulator.fleet.FaultShim;
import merlinrouter.emulator.fleet.FaultShim.Fault;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.fleet.NodeProcess.Signal;
import merlinrouter.emulator.peer.DiscoveryServer;
import org.junit.jupiter.api.Test;

/** Tests a node that temporarily cannot bind its port or open its configuration file. */
class ConfigurationFaultTest extends NodeFaultTestBase {
  private static final int FAILURES = 2;

  @Test
  void startRetriesFailedBindAndConfigurationRead() throws Exception {
    for (Errno error : List.of(Errno.EADDRINUSE, Errno.ENOBUFS)) {
      try (Fleet starting = new Fleet(ROOT, folder.resolve(error.name()))) {
        starting.addUpstream(respondImmediately(), 0);
        starting.startNodes(
            1,
            shim -> {
              shim.failNext(Fault.BIND, FAILURES, error);
              shim.failNext(Fault.OPEN, FAILURES, Errno.EMFILE);
            });
        FaultShim shim = starting.nodes().get(0).shim();
        assertEquals(FAILURES, shim.injected(Fault.BIND));
        assertEquals(FAILURES, shim.injected(Fault.OPEN));
      }
    }
  }

  @Test
  void reloadRetriesFailedConfigurationRead() throws Exception {
    Fleet.Node node = startNode(respondImmediately());
    for (Errno error : List.of(Errno.EMFILE, Errno.EIO)) {
      try (DiscoveryServer newDiscovery = new DiscoveryServer()) {
        node.process().configure(node.config().withDiscoveryAddress(newDiscovery.address()));
        node.shim().failNext(Fault.OPEN, FAILURES, error);
        node.process().signal(Signal.HUP);
        pollUntil(() -> newDiscovery.openConnections() > 0, () -> {});
        assertEquals(1, newDiscovery.openConnections(), error + ": " + node.process().log());
      }
    }
  }
}
