package merlinrouter.emulator;

import java.io.IOException;

/** Background threads of the emulator: they end with their sockets and keep no process alive. */
final class Threads {
  private static final long STACK_BYTES = 256 * 1024;

  private Threads() {}

  /** Work that ends when its socket does. */
  interface Work {
    /** Does the work. */
    void run() throws IOException, InterruptedException;
  }

  /** Starts a daemon thread; an ended socket or an interrupt ends it silently. */
  static Thread daemon(String name, Work work) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // The other side is gone or the run is over.
              }
            },
            name,
            STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
