package merlinrouter.emulator.peer;

import java.io.IOException;

/**
 * Starts daemon threads for blocking I/O. A thread ends when its socket is closed and does not keep
 * the process alive.
 */
public final class BackgroundThreads {
  private static final long STACK_BYTES = 256 * 1024;

  private BackgroundThreads() {}

  /** Work of a thread, which an I/O error or an interrupt may end. */
  public interface Task {
    /** Runs until the work is done or its socket is closed. */
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
