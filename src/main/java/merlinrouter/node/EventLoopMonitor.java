package merlinrouter.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.logging.NodeLog;

/**
 * Counts stalls of the event loop, and runs what has to be done regularly. Used on the event loop
 * only.
 */
final class EventLoopMonitor {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A longer stall is counted: the rules of the service allow for this one. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final NodeLog log;
  private final Runnable regularTask;
  private long lastRunNanos = System.nanoTime();

  /** Creates a monitor that also runs a task every half second. */
  EventLoopMonitor(NodeLog log, Runnable regularTask) {
    this.log = log;
    this.regularTask = regularTask;
  }

  void start(EventLoop loop) {
    loop.scheduleAtFixedRate(this::run, INTERVAL_NANOS, INTERVAL_NANOS, TimeUnit.NANOSECONDS);
  }

  private void run() {
    long nowNanos = System.nanoTime();
    if (nowNanos - lastRunNanos > INTERVAL_NANOS + MAX_STALL_NANOS) {
      log.count(NodeLog.Event.EVENT_LOOP_STALLED);
    }
    lastRunNanos = nowNanos;
    regularTask.run();
    log.tick();
  }
}
