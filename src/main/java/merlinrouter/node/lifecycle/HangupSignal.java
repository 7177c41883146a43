package merlinrouter.node.lifecycle;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Handling of the signal SIGHUP. */
final class HangupSignal {
  private static final String NAME = "HUP";

  private HangupSignal() {}

  /**
   * Sets the handler for SIGHUP, which runs on a thread of the JVM. Without a handler the signal
   * terminates the JVM, and only the JDK's internal class {@link Signal} can set one.
   *
   * @return whether the handler is set: the JVM sets none if the process was started with SIGHUP
   *     ignored, as by nohup
   */
  static boolean handle(Runnable handler) {
    SignalHandler previous = Signal.handle(new Signal(NAME), signal -> handler.run());
    return previous != SignalHandler.SIG_IGN;
  }
}
