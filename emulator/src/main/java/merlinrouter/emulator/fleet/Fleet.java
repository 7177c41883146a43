package merlinrouter.emulator.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import merlinrouter.emulator.peer.CounterServer;
import merlinrouter.emulator.peer.DiscoveryServer;
import merlinrouter.emulator.peer.EndpointEntry;
import merlinrouter.emulator.peer.FaultProxy;
import merlinrouter.emulator.peer.UpstreamServer;
import merlinrouter.emulator.request.RequestRegistry;

/**
 * Runs edge node processes with one discovery server, one quota counter and several upstream
 * servers. Each node has a fault shim, and each upstream server has a proxy in front of it.
 */
public final class Fleet implements AutoCloseable {
  /**
   * A node and the shim that injects its faults.
   *
   * @param name the node's name
   * @param process the node's process
   * @param shim injects faults into the process
   * @param config the configuration that the process was started with
   */
  public record Node(String name, NodeProcess process, FaultShim shim, NodeConfig config) {}

  /** Path of the built program, relative to the root of its checkout. */
  public static final String PROGRAM = "target/merlinrouter.jar";

  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final String SHIM_SOURCE = "emulator/src/main/c/faultshim.c";

  /** A single node is configured as one of two gateways. */
  private static final int MIN_GATEWAY_COUNT = 2;

  private static final List<String> ZONES = List.of("a", "b");
  private static final int CELLS = 4;

  private final Path root;
  private final Path folder;
  private final DiscoveryServer discovery = new DiscoveryServer();
  private final FaultProxy secondDiscoveryAddress = new FaultProxy(discovery.port());
  private final CounterServer counter = new CounterServer();
  private final RequestRegistry requests = new RequestRegistry();
  private final List<UpstreamServer> upstreams = new ArrayList<>();
  private final Map<String, FaultProxy> proxiesByEndpointId = new HashMap<>();
  private final List<Node> nodes = new ArrayList<>();

  /**
   * Starts discovery and the counter.
   *
   * @param root the checkout with the built program
   * @param folder receives configuration and log files; created if it does not exist
   */
  public Fleet(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = Files.createDirectories(folder.toAbsolutePath());
  }

  /**
   * Starts an upstream server and publishes it as ready.
   *
   * @param startedAtUnixMillis start time in the endpoint list; 0 for a start long ago
   */
  public UpstreamServer addUpstream(UpstreamServer.Script script, long startedAtUnixMillis)
      throws IOException {
    UpstreamServer upstream = new UpstreamServer("s-" + upstreams.size(), script, requests);
    upstreams.add(upstream);
    proxiesByEndpointId.put(upstream.id(), new FaultProxy(upstream.port()));
    publish(upstream, EndpointEntry.State.READY, startedAtUnixMillis);
    return upstream;
  }

  /** Publishes the state and the start time of an upstream server. */
  public void publish(
      UpstreamServer upstream, EndpointEntry.State state, long startedAtUnixMillis) {
    int number = upstreams.indexOf(upstream);
    discovery.publish(
        new EndpointEntry(
            upstream.id(),
            proxy(upstream).address(),
            ZONES.get(number % ZONES.size()),
            1 + number % CELLS,
            state,
            startedAtUnixMillis));
  }

  /** Returns the proxy in front of an upstream server; nodes connect to its address. */
  public FaultProxy proxy(UpstreamServer upstream) {
    return proxiesByEndpointId.get(upstream.id());
  }

  /** Starts nodes and waits until all are ready. */
  public void startNodes(int count) throws IOException, InterruptedException {
    startNodes(count, shim -> {});
  }

  /**
   * Starts nodes and waits until all are ready.
   *
   * @param initialFaults injects faults with each node's shim before the node starts
   * @throws IOException if a node does not become ready; the message contains its log
   */
  public void startNodes(int count, Consumer<FaultShim> initialFaults)
      throws IOException, InterruptedException {
    for (int i = 0; i < count; i++) {
      nodes.add(startNode(i, Math.max(MIN_GATEWAY_COUNT, count), initialFaults));
    }
    for (Node node : nodes) {
      if (!node.process().awaitReady(START_TIMEOUT)) {
        throw new IOException(
            node.name()
                + " has ended or was not ready within "
                + START_TIMEOUT.toSeconds()
                + " s: "
                + node.process().log());
      }
    }
  }

  private Node startNode(int gatewayNumber, int gatewayCount, Consumer<FaultShim> initialFaults)
      throws IOException, InterruptedException {
    FaultShim shim = new FaultShim(root.resolve(SHIM_SOURCE), folder);
    initialFaults.accept(shim);
    String name = NodeConfig.nodeName(gatewayNumber);
    int port = LoopbackPorts.reserve();
    NodeProcess process = new NodeProcess(root, folder, name, port, shim.environment());
    NodeConfig config =
        new NodeConfig(
            gatewayNumber,
            gatewayCount,
            port,
            discovery.address(),
            counter.address(),
            discovery.fullList());
    process.configure(config);
    process.start();
    return new Node(name, process, shim, config);
  }

  /**
   * Starts the process of a node again, which must have ended. Its configuration file contains the
   * last endpoint list that it can have received.
   */
  public void startAgain(Node node) throws IOException {
    configure(node, discovery.address());
    node.process().start();
  }

  /**
   * Replaces a node's configuration file. In the new one, discovery is at {@code discoveryAddress},
   * and the endpoint list is the last one that the node can have received.
   */
  public void configure(Node node, String discoveryAddress) throws IOException {
    node.process()
        .configure(
            node.config()
                .withDiscoveryAddress(discoveryAddress)
                .withKnownEndpoints(discovery.lastSentList()));
  }

  /** Returns the discovery server. */
  public DiscoveryServer discovery() {
    return discovery;
  }

  /** Returns another {@code host:port} of the same discovery server. */
  public String secondDiscoveryAddress() {
    return secondDiscoveryAddress.address();
  }

  /** Returns the quota counter. */
  public CounterServer counter() {
    return counter;
  }

  /** Returns all requests to the fleet's nodes. */
  public RequestRegistry requests() {
    return requests;
  }

  /** Returns all upstream servers in the order of their start. */
  public List<UpstreamServer> upstreams() {
    return List.copyOf(upstreams);
  }

  /** Returns all nodes in the order of their numbers. */
  public List<Node> nodes() {
    return List.copyOf(nodes);
  }

  /** Kills the nodes and stops the peers. */
  @Override
  public void close() throws IOException {
    nodes.forEach(node -> node.process().close());
    for (UpstreamServer upstream : upstreams) {
      proxy(upstream).close();
      upstream.close();
    }
    secondDiscoveryAddress.close();
    discovery.close();
    counter.close();
  }
}
