package merlinrouter.node;

import io.netty.channel.EventLoop;
import java.util.function.LongConsumer;
import merlinrouter.node.logging.ErrorLog;

/**
 * Delivers events to the gateway one at a time. The gateway is not reentrant, but sockets may
 * report events while they carry out an action that the gateway requested during another event:
 * such an event is delivered in a later task of the event loop. Used on the event loop only.
 */
final class EventDelivery {
  private static final Runnable NO_OP = () -> {};

  private final EventLoop loop;
  private final NodeClock clock;
  private final Runnable beforeEvent;
  private boolean preparing;
  private boolean delivering;
  private long eventStartedAtNanos;

  /**
   * Creates a delivery.
   *
   * @param beforeEvent runs before each event, while none is being delivered; does not run before
   *     the events that it delivers itself
   */
  EventDelivery(EventLoop loop, NodeClock clock, Runnable beforeEvent) {
    this.loop = loop;
    this.clock = clock;
    this.beforeEvent = beforeEvent;
  }

  /** Delivers an event, which is passed the current time by the gateway's clock. */
  void deliver(LongConsumer event) {
    deliver(event, NO_OP);
  }

  /**
   * Delivers an event, which is passed the current time by the gateway's clock.
   *
   * @param onFailure runs if the event throws an exception, which is logged and not rethrown,
   *     because a failure in one request's event must not end the process
   */
  void deliver(LongConsumer event, Runnable onFailure) {
    if (delivering) {
      loop.execute(() -> deliver(event, onFailure));
      return;
    }
    prepare();
    delivering = true;
    eventStartedAtNanos = clock.nowNanos();
    try {
      event.accept(eventStartedAtNanos);
    } catch (RuntimeException e) {
      ErrorLog.report("gateway failed to handle an event", e);
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

  /** Returns the time since the current event started, which the gateway does not account for. */
  long nanosSinceEventStarted() {
    return clock.nowNanos() - eventStartedAtNanos;
  }
}
