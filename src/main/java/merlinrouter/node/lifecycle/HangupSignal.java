package merlinrouter.node.lifecycle;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The signal SIGHUP. */
final class HangupSignal {
  private static final String NAME = "HUP";

  private HangupSignal() {}

  /**
   * Sets what is done on SIGHUP, on a thread of the JVM. Without a handler the signal ends the JVM,
   * and only this internal class of the platform can set one.
   *
   * @return whether the handler is set: the JVM sets none where the process was started with SIGHUP
   *     ignored, as by nohup
   */
  static boolean handle(Runnable handler) {
    SignalHandler previous = Signal.handle(new Signal(NAME), signal -> handler.run());
    return previous != SignalHandler.SIG_IGN;
  }
}
