package merlinrouter.node.lifecycle;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Handler;
import java.util.logging.Logger;
import merlinrouter.node.EdgeNode;
import merlinrouter.node.config.ConfigFile;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.UnreadableConfigException;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.logging.SingleLineFormatter;
import merlinrouter.node.warmup.WarmUp;

/**
 * A process that serves as one node. SIGHUP reloads the configuration and SIGTERM drains the node;
 * the JVM handles both on threads of its own, so either may arrive at any point of the start.
 */
public final class NodeProcess {
  private static final int WARM_UP_REQUESTS = 1_000;
  private static final long WARM_UP_MAX_MILLIS = 2_000;

  private static final long DRAIN_TIMEOUT_SECONDS = 60;

  private final ConfigFile configFile;
  private final Path warmUpFolder;
  private final Duration logInterval;

  /** The node once it is created; null during the warm-up. */
  private final AtomicReference<EdgeNode> createdNode = new AtomicReference<>();

  private final AtomicInteger hangupCount = new AtomicInteger();

  /**
   * Creates a process that does nothing before {@link #start}.
   *
   * @param configPath the configuration file
   * @param temporaryFolder the folder in which the warm-up may create its sockets
   * @param logInterval the interval between two lines of counts in the node's log
   */
  public NodeProcess(Path configPath, Path temporaryFolder, Duration logInterval) {
    configFile = new ConfigFile(configPath);
    warmUpFolder = temporaryFolder;
    this.logInterval = logInterval;
  }

  /** Makes the libraries log through the JDK's logging, one line for each record. */
  public static void configureLogging() {
    // Set explicitly, since Netty's search for other logging libraries slows down the start.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.setFormatter(new SingleLineFormatter());
    }
  }

  /**
   * Warms up the JVM and starts the node; returns when clients can connect.
   *
   * @throws InvalidConfigException if the configuration cannot be used
   * @throws UnreadableConfigException if the configuration cannot be read
   * @throws Exception if the node cannot start for another reason
   */
  public void start() throws Exception {
    if (!HangupSignal.handle(this::handleHangup)) {
      System.err.println(
          "SIGHUP is ignored, as inherited by this process: the configuration cannot be reloaded");
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "shutdown"));
    warmUp();
    EdgeNode node = createNode();
    node.start();
    System.out.println("serving on " + node.address());
  }

  private void warmUp() throws Exception {
    long startedAtNanos = System.nanoTime();
    int served = WarmUp.run(configFile.read(), WARM_UP_REQUESTS, WARM_UP_MAX_MILLIS, warmUpFolder);
    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    System.out.println("warmed up with " + served + " requests in " + tookMillis + " ms");
  }

  /**
   * Creates the node. Reads the configuration again, because a SIGHUP may have arrived during the
   * warm-up, and reloads it if a SIGHUP arrives while it is read.
   */
  private EdgeNode createNode() throws Exception {
    int hangupCountBefore = hangupCount.get();
    // Promotes what survives the start to the old generation now. Otherwise the first collection
    // under load would do so, on pages never touched before, and stall the event loop meanwhile.
    System.gc();
    EdgeNode node = new EdgeNode(configFile.read(), new NodeLog(logInterval));
    createdNode.set(node);
    if (hangupCount.get() != hangupCountBefore) {
      reload(node);
    }
    return node;
  }

  private void handleHangup() {
    hangupCount.incrementAndGet();
    EdgeNode node = createdNode.get();
    if (node == null) {
      System.out.println("configuration reload postponed until the node is created");
    } else {
      reload(node);
    }
  }

  /** Reloads the configuration; if that fails, logs one line, and the previous one stays. */
  private void reload(EdgeNode node) {
    try {
      // One reload at a time: signals may follow each other faster than the file is read.
      synchronized (configFile) {
        node.reload(configFile.reload());
      }
      System.out.println("configuration reloaded");
    } catch (Exception e) {
      System.err.println(
          "configuration reload failed, the previous configuration stays in effect: "
              + e.getMessage());
    }
  }

  /** Drains the node and exits with 0: the platform takes any other status for a failure. */
  private void shutDown() {
    try {
      EdgeNode node = createdNode.get();
      if (node != null) {
        node.drain().get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
      Runtime.getRuntime().halt(0);
    } catch (Exception e) {
      System.err.println(
          "graceful shutdown did not complete (limit " + DRAIN_TIMEOUT_SECONDS + " s): " + e);
    }
  }
}
