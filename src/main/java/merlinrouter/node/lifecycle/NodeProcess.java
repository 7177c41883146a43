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
 * the JVM handles both on threads of its own, so that they may come at any moment of the start.
 */
public final class NodeProcess {
  private static final int WARM_UP_REQUESTS = 1_000;
  private static final long WARM_UP_MAX_MILLIS = 2_000;

  private static final long DRAIN_TIMEOUT_SECONDS = 60;

  private final ConfigFile configFile;
  private final Path warmUpFolder;
  private final Duration logInterval;

  /** The node once it is created; null during the warm-up. */
  private final AtomicReference<EdgeNode> serving = new AtomicReference<>();

  private final AtomicInteger hangups = new AtomicInteger();

  /**
   * Creates a process that does nothing yet.
   *
   * @param configPath the configuration file
   * @param temporaryFolder where the warm-up may put its sockets
   * @param logInterval how often the node's log tells its counts
   */
  public NodeProcess(Path configPath, Path temporaryFolder, Duration logInterval) {
    configFile = new ConfigFile(configPath);
    warmUpFolder = temporaryFolder;
    this.logInterval = logInterval;
  }

  /** Has the libraries log on single lines, to the JDK's own log. */
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
    if (!HangupSignal.handle(this::hangUp)) {
      System.err.println("SIGHUP is ignored by whatever started this process: no reload");
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "shutdown"));
    warmUp();
    EdgeNode node = createNode();
    node.start();
    System.out.println("serving on " + node.address());
  }

  private void warmUp() throws Exception {
    long startedAt = System.nanoTime();
    int served = WarmUp.run(configFile.read(), WARM_UP_REQUESTS, WARM_UP_MAX_MILLIS, warmUpFolder);
    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    System.out.println("warmed up with " + served + " requests in " + tookMillis + " ms");
  }

  /** Reads the file again: SIGHUP may have come during the warm-up, or comes during the reading. */
  private EdgeNode createNode() throws Exception {
    int hangupsBefore = hangups.get();
    // Moves what the start leaves to the old generation now. The first collection under load would
    // have to, on pages that were never touched, and would stall the event loop for that long.
    System.gc();
    EdgeNode node = new EdgeNode(configFile.read(), new NodeLog(logInterval));
    serving.set(node);
    if (hangups.get() != hangupsBefore) {
      reload(node);
    }
    return node;
  }

  private void hangUp() {
    hangups.incrementAndGet();
    EdgeNode node = serving.get();
    if (node == null) {
      System.out.println("the configuration will be read again for the start");
    } else {
      reload(node);
    }
  }

  /** A file that cannot be used costs one line, and the node keeps its configuration. */
  private void reload(EdgeNode node) {
    try {
      // One at a time: signals may follow each other faster than the file is read.
      synchronized (configFile) {
        node.reload(configFile.reload());
      }
      System.out.println("configuration read again");
    } catch (Exception e) {
      System.err.println("the configuration stays as it was: " + e.getMessage());
    }
  }

  /** Exits with 0: the platform reads any other status as a failure of the node. */
  private void shutDown() {
    try {
      EdgeNode node = serving.get();
      if (node != null) {
        node.drain().get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
      Runtime.getRuntime().halt(0);
    } catch (Exception e) {
      System.err.println("the drain did not end: " + e);
    }
  }
}
