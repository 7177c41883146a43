package merlinrouter.node.counter;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The calls for a subset of the counter keys, and the connection that they are written to. All
 * calls for one key belong to one shard, which ends them in the order in which they were added.
 * Used on the event loop only.
 */
final class CounterShard {
  private static final int MAX_OPEN_CALLS = 256;

  /** A connection is assumed dead if nothing is received on it for this many call timeouts. */
  private static final int MIN_TIMEOUTS_WITHOUT_RESPONSE = 10;

  private static final int MAX_TIMEOUTS_WITHOUT_RESPONSE = 16 * MIN_TIMEOUTS_WITHOUT_RESPONSE;

  private final EventLoop loop;
  private final long callTimeoutNanos;
  private final Function<CounterShard, CounterConnection> connector;

  /** Calls that have not been passed to a connection yet. */
  private final ArrayDeque<CounterCall> waiting = new ArrayDeque<>();

  private CounterConnection connection;
  private CounterCall lastWritten;
  private boolean writeScheduled;
  private int timeoutsWithoutResponse = MIN_TIMEOUTS_WITHOUT_RESPONSE;

  CounterShard(
      EventLoop loop, long callTimeoutNanos, Function<CounterShard, CounterConnection> connector) {
    this.loop = loop;
    this.callTimeoutNanos = callTimeoutNanos;
    this.connector = connector;
  }

  /** Starts a call. Calls added in one iteration of the event loop are flushed together. */
  void add(CounterCall call) {
    if (connection != null && waiting.size() + connection.pendingCalls() >= MAX_OPEN_CALLS) {
      // Too many open calls: closing the connection ends the calls written to it, in order, and the
      // new call uses another connection.
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

  /** Returns the time without a response after which a connection is assumed dead. */
  long maxResponseDelayNanos() {
    return timeoutsWithoutResponse * callTimeoutNanos;
  }

  /**
   * Handles a connection on which nothing was received in time: the counter may be slower than
   * that, and no connection would ever last until its first response.
   */
  void extendMaxResponseDelay() {
    timeoutsWithoutResponse = Math.min(MAX_TIMEOUTS_WITHOUT_RESPONSE, 2 * timeoutsWithoutResponse);
  }

  /** Handles a response. */
  void resetMaxResponseDelay() {
    timeoutsWithoutResponse = MIN_TIMEOUTS_WITHOUT_RESPONSE;
  }

  /** Replaces the connection; the previous one stays open for the calls written to it. */
  void reconnect() {
    if (connection != null) {
      CounterConnection replaced = connection;
      connection = connector.apply(this);
      replaced.closeIfReplacedAndDone();
    }
  }

  /**
   * Writes the waiting calls if the connection is established. Since calls must end in order, none
   * is written while an earlier call is open on another connection.
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

  /** Stops the use of a connection that is about to end its calls. */
  void detach(CounterConnection closing) {
    if (connection == closing) {
      connection = null;
    }
  }

  /**
   * Handles a connection that has closed and ended its calls. Waiting calls are written to a new
   * connection, or end too if the closed one was never established.
   *
   * @param wasConnected whether the connection had been established; if not, an immediate retry
   *     would only fail again and be repeated
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
