package merlinrouter.node.lifecycle;

import sun.misc.Signal;

/** The signal SIGHUP. */
final class HangupSignal {
  private static final String NAME = "HUP";

  private HangupSignal() {}

  /**
   * Sets what is done on SIGHUP, on a thread of the JVM. Without a handler the signal ends the JVM,
   * and only this internal class of the platform can set one.
   */
  static void handle(Runnable handler) {
    Signal.handle(new Signal(NAME), signal -> handler.run());
  }
}
