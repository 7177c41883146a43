package merlinrouter.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Edge node processes between one discovery, one counter and some match servers, each node with a
 * fault shim.
 */
final class Fleet implements AutoCloseable {
  private static final Duration START_PATIENCE = Duration.ofSeconds(60);

  /** A node and its faults. */
  record Node(String name, NodeProcess process, FaultShim shim) {}

  private final Path root;
  private final Path folder;
  private final DiscoveryService discovery = new DiscoveryService();
  private final CounterService counter = new CounterService();
  private final Ledger ledger = new Ledger();
  private final List<MatchServer> servers = new ArrayList<>();
  private final Map<String, FaultProxy> proxies = new HashMap<>();
  private final List<Node> nodes = new ArrayList<>();

  /**
   * {@code root} is the repository with the built program; {@code folder} takes configurations and
   * logs.
   */
  Fleet(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = Files.createDirectories(folder.toAbsolutePath());
  }

  /** Adds a match server and publishes it as ready. */
  MatchServer addServer(MatchServer.Script script, long startedAtMillis) throws IOException {
    MatchServer server = new MatchServer("s-" + servers.size(), script, ledger);
    servers.add(server);
    proxies.put(server.id(), new FaultProxy(server.port()));
    discovery.publish(member(server, DiscoveryService.Phase.READY, startedAtMillis));
    return server;
  }

  /** The list's entry of a server. */
  DiscoveryService.Member member(
      MatchServer server, DiscoveryService.Phase phase, long startedAtMillis) {
    int number = servers.indexOf(server);
    return new DiscoveryService.Member(
        server.id(),
        proxy(server).address(),
        number % 2 == 0 ? "a" : "b",
        1 + number % 4,
        phase,
        startedAtMillis);
  }

  /** The network in front of a server; nodes reach it at the proxy's address. */
  FaultProxy proxy(MatchServer server) {
    return proxies.get(server.id());
  }

  /** Starts so many nodes and waits until all are ready. */
  void startNodes(int count) throws IOException, InterruptedException {
    startNodes(count, shim -> {});
  }

  /**
   * Starts so many nodes, each with the faults that {@code faults} sets first, and waits until all
   * are ready.
   */
  void startNodes(int count, Consumer<FaultShim> faults) throws IOException, InterruptedException {
    Path source = root.resolve("emulator/src/main/c/faultshim.c");
    for (int i = 0; i < count; i++) {
      FaultShim shim = new FaultShim(source, folder);
      faults.accept(shim);
      String name = "n" + i;
      NodeProcess process = new NodeProcess(root, folder, name, freePort(), shim.environment());
      nodes.add(new Node(name, process, shim));
      process.configure(
          NodeConfiguration.of(
              i, Math.max(2, count), process.port(), discovery, counter, discovery.snapshot()));
      process.start();
    }
    for (Node node : nodes) {
      if (!node.process().awaitReady(START_PATIENCE)) {
        throw new IOException(node.name() + " is not ready: " + node.process().logText());
      }
    }
  }

  /**
   * Below the range that the system gives out to clients, so that a restarted node finds its port
   * free.
   */
  private static int freePort() throws IOException {
    for (int port = 20_000 + (int) (ProcessHandle.current().pid() % 10_000); ; port++) {
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        if (TAKEN.add(port)) {
          return port;
        }
      } catch (IOException e) {
        if (port > 32_000) {
          throw e;
        }
      }
    }
  }

  private static final java.util.Set<Integer> TAKEN =
      java.util.concurrent.ConcurrentHashMap.newKeySet();

  DiscoveryService discovery() {
    return discovery;
  }

  CounterService counter() {
    return counter;
  }

  Ledger ledger() {
    return ledger;
  }

  List<MatchServer> servers() {
    return List.copyOf(servers);
  }

  List<Node> nodes() {
    return List.copyOf(nodes);
  }

  @Override
  public void close() throws IOException {
    nodes.forEach(node -> node.process().close());
    for (MatchServer server : servers) {
      proxy(server).close();
      server.close();
    }
    discovery.close();
    counter.close();
  }
}
