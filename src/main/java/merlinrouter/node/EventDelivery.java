package merlinrouter.node;

import io.netty.channel.EventLoop;
import java.util.function.LongConsumer;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.logging.NodeLog;

/**
 * Delivers events to the gateway one at a time. The gateway is not reentrant, but sockets may
 * report events while they carry out an action that the gateway requested during another event:
 * such an event is delivered in a later task of the event loop. Used on the event loop only.
 */
final class EventDelivery {
  private static final Runnable NO_OP = () -> {};

  private final EventLoop loop;
  private final NodeClock clock;
  private final NodeLog log;
  private final Runnable beforeEvent;
  private boolean preparing;
  private boolean delivering;
  private long eventStartedAtNanos;

  /**
   * Creates a delivery.
   *
   * @param log counts the events that throw an exception
   * @param beforeEvent runs before each event, while none is being delivered; does not run before
   *     the events that it delivers itself
   */
  EventDelivery(EventLoop loop, NodeClock clock, NodeLog log, Runnable beforeEvent) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.beforeEvent = beforeEvent;
  }

  /** Delivers an event, which is passed the current time by the gateway's clock. */
  void deliver(LongConsumer event) {
    deliver(event, NO_OP);
  }

  /**
   * Delivers an event, which is passed the current time by the gateway's clock.
   *
   * @param onFailure runs if the event throws an exception or error, which is logged and not
   *     rethrown, because a failure in one event must not keep others from being handled
   */
  void deliver(LongConsumer event, Runnable onFailure) {
    if (delivering) {
      loop.execute(() -> deliver(event, onFailure));
      return;
    }
    prepare();
    delivering = true;
    eventStartedAtNanos = clock.nowNanos();
    run(() -> event.accept(eventStartedAtNanos), onFailure);
    delivering = false;
  }

  private void prepare() {
    if (!preparing) {
      preparing = true;
      run(beforeEvent, NO_OP);
      preparing = false;
    }
  }

  /**
   * Runs a step in the handling of an event. If it throws an exception or error, that is logged and
   * not rethrown.
   *
   * @param onFailure runs in that case; what it throws is logged as well
   */
  void run(Runnable step, Runnable onFailure) {
    try {
      step.run();
    } catch (Throwable cause) {
      ErrorLog.report("failed to handle an event", cause);
      if (onFailure != NO_OP) {
        run(onFailure, NO_OP);
      }
      log.count(NodeLog.Event.EVENT_FAILED);
    }
  }

  /** Returns the time since the current event started, which the gateway does not account for. */
  long nanosSinceEventStarted() {
    return clock.nowNanos() - eventStartedAtNanos;
  }
}
