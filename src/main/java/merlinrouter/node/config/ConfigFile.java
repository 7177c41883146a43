package merlinrouter.node.config;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Reads the configuration file and retries transient failures: the process may be out of file
 * descriptors, the disk may fail a read, and a replacement of the file may not be complete yet.
 */
public final class ConfigFile {
  private static final long RETRY_PAUSE_MILLIS = 50;

  /** Short against the 4 s within which a reload is due. */
  private static final long RETRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Path path;

  /** Reads nothing yet. */
  public ConfigFile(Path path) {
    this.path = path;
  }

  /**
   * Reads the file for a start. Blocks for up to a second while the file cannot be read.
   *
   * @throws UnreadableConfigException if the file still cannot be read
   * @throws InvalidConfigException at once if its content cannot be used
   */
  public NodeConfig read()
      throws InvalidConfigException, UnreadableConfigException, InterruptedException {
    long startedAt = System.nanoTime();
    while (true) {
      try {
        return NodeConfigReader.read(path);
      } catch (UnreadableConfigException e) {
        pauseOrThrow(e, startedAt);
      }
    }
  }

  /**
   * Reads the file while the node serves. It may be replaced at the same moment, so invalid content
   * is read again too. Blocks for up to about 2 s.
   *
   * @throws UnreadableConfigException if the file still cannot be read
   * @throws InvalidConfigException if its content still cannot be used
   */
  public NodeConfig reload()
      throws InvalidConfigException, UnreadableConfigException, InterruptedException {
    long startedAt = System.nanoTime();
    while (true) {
      try {
        return read();
      } catch (InvalidConfigException e) {
        pauseOrThrow(e, startedAt);
      }
    }
  }

  private static <E extends Exception> void pauseOrThrow(E failure, long startedAt)
      throws E, InterruptedException {
    if (System.nanoTime() - startedAt > RETRY_TIMEOUT_NANOS) {
      throw failure;
    }
    Thread.sleep(RETRY_PAUSE_MILLIS);
  }
}
