package merlinrouter.node.counter;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The calls for a part of the counter keys, and the connection that they are written to. All calls
 * for one key are in one shard, which ends them in their order. Used on the event loop only.
 */
final class CounterShard {
  private static final int MAX_OPEN_CALLS = 256;

  private final EventLoop loop;
  private final long callTimeoutNanos;
  private final Function<CounterShard, CounterConnection> connector;

  /** Calls that are still to be written. */
  private final ArrayDeque<CounterCall> waiting = new ArrayDeque<>();

  private CounterConnection connection;
  private CounterCall lastWritten;
  private boolean writeScheduled;

  CounterShard(
      EventLoop loop, long callTimeoutNanos, Function<CounterShard, CounterConnection> connector) {
    this.loop = loop;
    this.callTimeoutNanos = callTimeoutNanos;
    this.connector = connector;
  }

  /** Starts a call. All calls of one turn of the event loop are flushed together. */
  void add(CounterCall call) {
    if (connection != null && waiting.size() + connection.pendingCalls() >= MAX_OPEN_CALLS) {
      // Too many calls are unanswered: they end in their order, and this one goes to a new
      // connection.
      connection.close();
    }
    if (connection == null) {
      connection = connector.apply(this);
    }
    waiting.add(call);
    loop.schedule(() -> timeOut(call), callTimeoutNanos, TimeUnit.NANOSECONDS);
    if (!writeScheduled) {
      writeScheduled = true;
      loop.execute(
          () -> {
            writeScheduled = false;
            writeWaiting();
          });
    }
  }

  private void timeOut(CounterCall call) {
    if (call.isEnded()) {
      return;
    }
    waiting.remove(call);
    call.timeOut();
    if (call.connection() != null) {
      call.connection().callTimedOut(call);
    }
  }

  /** Replaces the connection; the earlier one is kept for the calls that were written to it. */
  void reconnect() {
    if (connection != null) {
      CounterConnection replaced = connection;
      connection = connector.apply(this);
      replaced.closeIfReplacedAndDone();
    }
  }

  /**
   * Writes what waits, if that is possible now. Calls end in their order, so none is written while
   * an earlier one is open on another connection.
   */
  void writeWaiting() {
    if (connection == null || !connection.isActive() || isOpenElsewhere(lastWritten)) {
      return;
    }
    while (!waiting.isEmpty()) {
      lastWritten = waiting.poll();
      connection.write(lastWritten);
    }
    connection.flush();
  }

  private boolean isOpenElsewhere(CounterCall call) {
    return call != null && !call.isEnded() && call.connection() != connection;
  }

  boolean isCurrent(CounterConnection candidate) {
    return connection == candidate;
  }

  /** A connection is about to end its calls: later calls need another one. */
  void detach(CounterConnection closing) {
    if (connection == closing) {
      connection = null;
    }
  }

  /**
   * A connection has ended its calls; what waits goes to a new one, or ends as well.
   *
   * @param wasConnected whether the connection was ever made; if not, an immediate retry would only
   *     fail and be repeated
   */
  void connectionClosed(boolean wasConnected) {
    if (connection != null || waiting.isEmpty()) {
      return;
    }
    if (wasConnected) {
      connection = connector.apply(this);
    } else {
      while (!waiting.isEmpty()) {
        waiting.poll().connectionLost();
      }
    }
  }
}
