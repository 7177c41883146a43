package merlinrouter.emulator.soak;

import java.io.IOException;
import merlinrouter.emulator.peer.BackgroundThreads;

/** A thread that injects one fault after another until it is stopped. */
final class InjectionThread {
  private final String name;
  private final BackgroundThreads.Task injection;
  private volatile boolean stopped;
  private Thread thread;

  /**
   * Creates a thread that is not started yet.
   *
   * @param injection injects one fault, repeatedly
   */
  InjectionThread(String name, BackgroundThreads.Task injection) {
    this.name = name;
    this.injection = injection;
  }

  /** Starts to inject faults. */
  void start() {
    thread = BackgroundThreads.start(name, this::run);
  }

  private void run() throws IOException, InterruptedException {
    while (!stopped) {
      injection.run();
    }
  }

  /** Stops the injection and waits for the fault in progress; has no effect before the start. */
  void stop() throws InterruptedException {
    stopped = true;
    if (thread != null) {
      thread.join();
    }
  }
}
