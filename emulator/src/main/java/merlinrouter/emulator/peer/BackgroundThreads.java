package merlinrouter.emulator.peer;

import java.io.IOException;

/** Daemon threads, which end with their sockets and do not keep the process alive. */
public final class BackgroundThreads {
  private static final long STACK_BYTES = 256 * 1024;

  private BackgroundThreads() {}

  /** Work that may end with its socket. */
  public interface Task {
    /** Does the work. */
    void run() throws IOException, InterruptedException;
  }

  /** Starts a daemon thread; an I/O error or an interrupt ends it silently. */
  public static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException expected) {
                // The peer has closed the connection, or the run is over.
              }
            },
            name,
            STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
