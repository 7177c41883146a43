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
 * own handles made-up requests over Unix domain sockets in this process, so that what every request
 * passes is compiled before the first client waits for it. On a part of a CPU core that takes
 * seconds. A node that served during that time would stall for half a second, take its own delay
 * for its endpoints', and reject most requests, which come again at once.
 *
 * <p>Every start is warmed up, also one after a crash. Since other nodes bear the load during that
 * time, the time is limited, and a node whose warm-up fails serves without.
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
    // A random name would cost the start the initialization of the system's random numbers.
    folder = Files.createDirectory(parent.resolve("warm-up-" + ProcessHandle.current().pid()));
  }

  /**
   * Warms up the JVM; blocks until that is done. A failure is reported on standard error.
   *
   * @param config configuration of the node that is to serve
   * @param minRequests how many requests are handled at least, unless time is up
   * @param maxMillis maximum time
   * @param parent folder for a folder of sockets, which is removed again
   * @return how many requests were served; 0 if the warm-up failed
   */
  public static int run(NodeConfig config, int minRequests, long maxMillis, Path parent) {
    if (!UnixSockets.areUsable(parent)) {
      System.err.println("no warm-up: Unix sockets are refused");
      return 0;
    }
    try (WarmUp warmUp = new WarmUp(config, minRequests, parent)) {
      return warmUp.handleRequests(maxMillis);
    } catch (Exception e) {
      ErrorLog.report("no warm-up", e);
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
      // What was warmed up by now has to do.
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
