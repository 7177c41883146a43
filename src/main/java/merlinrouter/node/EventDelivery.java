package merlinrouter.node;

import io.netty.channel.EventLoop;
import java.util.function.LongConsumer;
import merlinrouter.node.logging.ErrorLog;

/**
 * Delivers events to the gateway one at a time. Sockets may report within an action, that is within
 * an event, and the gateway must not be entered twice: such an event is delivered later. Used on
 * the event loop only.
 */
final class EventDelivery {
  private static final Runnable NOTHING = () -> {};

  private final EventLoop loop;
  private final NodeClock clock;
  private final Runnable beforeEvent;
  private boolean preparing;
  private boolean delivering;
  private long eventStartedNanos;

  /**
   * Creates a delivery.
   *
   * @param beforeEvent runs before each event, outside of one; events that it delivers do not run
   *     it again
   */
  EventDelivery(EventLoop loop, NodeClock clock, Runnable beforeEvent) {
    this.loop = loop;
    this.clock = clock;
    this.beforeEvent = beforeEvent;
  }

  /** Delivers an event, which gets the time, by the gateway's clock. */
  void deliver(LongConsumer event) {
    deliver(event, NOTHING);
  }

  /**
   * Delivers an event, which gets the time, by the gateway's clock.
   *
   * @param onFailure runs if the gateway fails on the event; the failure itself goes no further,
   *     since one request's event must not end the process
   */
  void deliver(LongConsumer event, Runnable onFailure) {
    if (delivering) {
      loop.execute(() -> deliver(event, onFailure));
      return;
    }
    prepare();
    delivering = true;
    eventStartedNanos = clock.nowNanos();
    try {
      event.accept(eventStartedNanos);
    } catch (RuntimeException e) {
      ErrorLog.report("the gateway failed", e);
      onFailure.run();
    } finally {
      delivering = false;
    }
  }

  private void prepare() {
    if (!preparing) {
      preparing = true;
      try {
        beforeEvent.run();
      } finally {
        preparing = false;
      }
    }
  }

  /** Time since the event that is being delivered started, which its decisions do not see. */
  long nanosSinceEventStarted() {
    return clock.nowNanos() - eventStartedNanos;
  }
}
