package merlinrouter;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Handler;
import java.util.logging.Logger;
import merlinrouter.node.EdgeNode;
import merlinrouter.node.config.ConfigFile;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.UnreadableConfigException;
import merlinrouter.node.logging.SingleLineFormatter;
import merlinrouter.node.warmup.WarmUp;
import merlinrouter.simulator.SimulatorAdapter;

/**
 * The program: {@code serve} runs a real edge node, {@code simulate} the decisions on the
 * simulator's wire.
 */
public final class Main {
  /**
   * How long a start's rehearsal is: so many requests, or so many milliseconds where these take
   * longer.
   */
  private static final int REHEARSED = 1_000;

  private static final long REHEARSAL_MS = 2_000;

  private Main() {}

  /** Picks the word. */
  public static void main(String[] args) {
    switch (args.length == 1 ? args[0] : "") {
      case "serve" -> serve(System.getenv("GW_CONFIG"));
      case "simulate" -> SimulatorAdapter.main(args);
      default -> exit(2, "usage: merlinrouter.jar serve|simulate");
    }
  }

  private static void serve(String file) {
    if (file == null || file.isEmpty()) {
      exit(2, "GW_CONFIG must name the configuration file");
      return;
    }
    // Said outright, or Netty looks for the other libraries first, which takes a part of the start.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.setFormatter(new SingleLineFormatter());
    }
    try {
      ConfigFile configuration = new ConfigFile(Path.of(file));
      AtomicReference<EdgeNode> serving = new AtomicReference<>();
      AtomicInteger hangups = new AtomicInteger();
      onHangup(
          () -> {
            hangups.incrementAndGet();
            reload(serving.get(), configuration);
          });
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(serving.get()), "stop"));
      String folder = System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"));
      long begun = System.nanoTime();
      int rehearsed = WarmUp.run(configuration.read(), REHEARSED, REHEARSAL_MS, Path.of(folder));
      System.out.println(
          "warmed up with "
              + rehearsed
              + " requests in "
              + (System.nanoTime() - begun) / 1_000_000
              + " ms");
      // The file is read again: a signal may have come meanwhile, or come while it is read.
      int before = hangups.get();
      // What the start leaves is moved out of the way now: the first collection under load would
      // have to move it
      // all, page by page that was never touched, and hold the loop for that long.
      System.gc();
      EdgeNode node = new EdgeNode(configuration.read());
      serving.set(node);
      if (hangups.get() != before) {
        reload(node, configuration);
      }
      node.start();
      System.out.println("serving on " + node.address());
    } catch (InvalidConfigException | UnreadableConfigException e) {
      exit(1, e.getMessage());
    } catch (Exception e) {
      exit(1, "cannot start: " + e.getMessage());
    }
  }

  /** The JVM ends on SIGHUP unless a handler is set, and only this internal class can set one. */
  private static void onHangup(Runnable then) {
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> then.run());
  }

  /** A file that cannot be used costs one line; the settings that the node has stay as they are. */
  private static void reload(EdgeNode node, ConfigFile configuration) {
    if (node == null) {
      System.out.println("the configuration will be read again for the start");
      return;
    }
    try {
      // One at a time: signals may follow each other faster than the file is read.
      synchronized (node) {
        node.reload(configuration.reload());
      }
      System.out.println("configuration read again");
    } catch (Exception e) {
      System.err.println("the configuration stays as it was: " + e.getMessage());
    }
  }

  /**
   * Ends a planned restart with 0: the platform reads any other status as a failure of the node.
   */
  private static void stop(EdgeNode node) {
    try {
      if (node != null) {
        node.drain().get(1, TimeUnit.MINUTES);
      }
      Runtime.getRuntime().halt(0);
    } catch (Exception e) {
      System.err.println("the drain did not end: " + e);
    }
  }

  private static void exit(int status, String line) {
    System.err.println(line);
    Runtime.getRuntime().halt(status);
  }
}
