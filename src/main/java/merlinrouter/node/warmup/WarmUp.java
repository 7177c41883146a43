package merlinrouter.node.warmup;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import merlinrouter.node.EdgeNode;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.EventLoops;

/**
 * Warms up the JVM before a node serves: a second node with the same settings and a gateway of its
 * own handles synthetic requests over Unix domain sockets in this process, so that the code that
 * every request runs is compiled before the first client waits for it. On a fraction of a CPU core
 * this takes seconds. A node that served clients during that time would stall for half a second,
 * attribute its own delay to its endpoints, and reject most requests, which clients would send
 * again immediately.
 *
 * <p>Every start is warmed up, including one after a crash. The duration is limited, since other
 * nodes carry the load meanwhile, and a node whose warm-up fails serves without one.
 */
public final class WarmUp implements AutoCloseable {
  private static final int ENDPOINTS = 8;
  private static final int CLIENTS = 10;

  private final EventLoopGroup group = EventLoops.newSingleLoopGroup(NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final StubServer server = new StubServer(loop);
  private final StubClients clients;
  private final List<Path> socketFiles = new ArrayList<>();
  private final NodeConfig config;
  private final Path folder;

  private WarmUp(NodeConfig config, int minRequests, Path parent) throws IOException {
    this.config = config;
    clients = new StubClients(loop, config, minRequests);
    folder = Files.createDirectory(parent.resolve(UnixSockets.uniqueName("warm-up")));
  }

  /**
   * Warms up the JVM; blocks until this is done. A failure is reported on standard error.
   *
   * @param config configuration of the node that is to serve
   * @param minRequests minimum number of requests to handle, unless the maximum time is reached or
   *     a connection fails before
   * @param maxMillis maximum time for handling requests, in milliseconds
   * @param parent where a temporary folder for the sockets is created
   * @return the number of requests that were served; 0 if the warm-up failed
   */
  public static int run(NodeConfig config, int minRequests, long maxMillis, Path parent) {
    if (!UnixSockets.areUsable(parent)) {
      System.err.println("JVM warm-up skipped: cannot connect over a Unix socket in " + parent);
      return 0;
    }
    try (WarmUp warmUp = new WarmUp(config, minRequests, parent)) {
      return warmUp.handleRequests(maxMillis);
    } catch (Exception e) {
      ErrorLog.report("JVM warm-up failed", e);
      return 0;
    }
  }

  private int handleRequests(long maxMillis) throws Exception {
    List<SocketAddress> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      SocketAddress address = socketAddress("s" + i);
      server.bind(address);
      endpoints.add(address);
    }
    NodeConfig warmUpConfig = WarmUpConfig.of(config, socketAddress("n"), endpoints);
    try (EdgeNode node = new EdgeNode(warmUpConfig, NodeLog.silent())) {
      node.start();
      for (int i = 0; i < CLIENTS; i++) {
        clients.connect(node.address());
      }
      awaitClients(maxMillis);
    }
    return loop.submit(clients::served).get();
  }

  private void awaitClients(long maxMillis) throws Exception {
    try {
      clients.finished().get(maxMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException expected) {
      // The node serves with what has been compiled so far.
    }
  }

  private SocketAddress socketAddress(String name) {
    Path file = folder.resolve(name);
    socketFiles.add(file);
    return UnixDomainSocketAddress.of(file);
  }

  @Override
  public void close() throws IOException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    for (Path file : socketFiles) {
      Files.deleteIfExists(file);
    }
    Files.delete(folder);
  }
}
