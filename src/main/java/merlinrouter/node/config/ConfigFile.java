package merlinrouter.node.config;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Reads the configuration file and retries after transient failures: the process may be out of file
 * descriptors, the disk may fail a read, and a replacement of the file may not be complete yet.
 */
public final class ConfigFile {
  private static final long RETRY_PAUSE_MILLIS = 50;

  /** Short compared with the 4 s within which a reload must take effect. */
  private static final long RETRY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Path path;

  /** Creates a reader of the file at {@code path}, without reading it yet. */
  public ConfigFile(Path path) {
    this.path = path;
  }

  /**
   * Reads the file when the node starts. Blocks for up to a second while it cannot be read.
   *
   * @throws UnreadableConfigException if the file still cannot be read
   * @throws InvalidConfigException immediately if its content is invalid
   */
  public NodeConfig read()
      throws InvalidConfigException, UnreadableConfigException, InterruptedException {
    long startedAtNanos = System.nanoTime();
    while (true) {
      try {
        return NodeConfigReader.read(path);
      } catch (UnreadableConfigException e) {
        pauseOrThrow(e, startedAtNanos);
      }
    }
  }

  /**
   * Reads the file while the node serves requests. The file may be read during its replacement, so
   * invalid content is retried too. Blocks for up to about 2 s.
   *
   * @throws UnreadableConfigException if the file still cannot be read
   * @throws InvalidConfigException if its content is still invalid
   */
  public NodeConfig reload()
      throws InvalidConfigException, UnreadableConfigException, InterruptedException {
    long startedAtNanos = System.nanoTime();
    while (true) {
      try {
        return read();
      } catch (InvalidConfigException e) {
        pauseOrThrow(e, startedAtNanos);
      }
    }
  }

  private static <E extends Exception> void pauseOrThrow(E failure, long startedAtNanos)
      throws E, InterruptedException {
    if (System.nanoTime() - startedAtNanos > RETRY_TIMEOUT_NANOS) {
      throw failure;
    }
    Thread.sleep(RETRY_PAUSE_MILLIS);
  }
}
