package merlinrouter.node.config;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The configuration file, read again where that fails for a moment: the process may be out of
 * descriptors, the disk may fail a read, and whoever replaces the file may not have written all of
 * it yet.
 */
public final class ConfigFile {
  private static final long PAUSE_MS = 50;

  /** Short against the 4 s after which a hang-up counts as obeyed. */
  private static final long PATIENCE_MS = 1_000;

  private final Path path;

  public ConfigFile(Path path) {
    this.path = path;
  }

  /** Reads the file for a start. What is bad in it is told at once. */
  public NodeConfig read() throws NodeConfig.Invalid, NodeConfig.Unreadable, InterruptedException {
    long begun = System.nanoTime();
    while (true) {
      try {
        return NodeConfig.read(path);
      } catch (NodeConfig.Unreadable e) {
        pauseOrThrow(e, begun);
      }
    }
  }

  /**
   * Reads the file while the node serves: it may be replaced at the same moment, so what is bad in
   * it may change.
   */
  public NodeConfig readAgain()
      throws NodeConfig.Invalid, NodeConfig.Unreadable, InterruptedException {
    long begun = System.nanoTime();
    while (true) {
      try {
        return read();
      } catch (NodeConfig.Invalid e) {
        pauseOrThrow(e, begun);
      }
    }
  }

  private static <E extends Exception> void pauseOrThrow(E failure, long begun)
      throws E, InterruptedException {
    if (System.nanoTime() - begun > TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS)) {
      throw failure;
    }
    Thread.sleep(PAUSE_MS);
  }
}
