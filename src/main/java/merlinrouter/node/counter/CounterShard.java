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

  /** A connection is replaced if nothing is received on it for this many call timeouts. */
  private static final int MAX_TIMEOUTS_WITHOUT_RESPONSE = 10;

  /**
   * A replaced connection on which there was no response yet stays open for this many call
   * timeouts, in case that the counter needs long for its first one.
   */
  private static final int RETAINED_TIMEOUTS = 16 * MAX_TIMEOUTS_WITHOUT_RESPONSE;

  private final EventLoop loop;
  private final long callTimeoutNanos;
  private final Function<CounterShard, CounterConnection> connector;

  /** Calls that have not been passed to a connection yet. */
  private final ArrayDeque<CounterCall> waiting = new ArrayDeque<>();

  /** The connection that calls are written to; null until the next call needs one. */
  private CounterConnection connection;

  /** A replaced connection that may still get its first response; null if there is none. */
  private CounterConnection retained;

  private CounterCall lastWritten;
  private boolean writeScheduled;

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

  /** Returns the time without a response after which a connection is replaced. */
  long maxResponseDelayNanos() {
    return MAX_TIMEOUTS_WITHOUT_RESPONSE * callTimeoutNanos;
  }

  /**
   * Replaces the current connection, on which there was no response yet. Of all such connections
   * the oldest is retained: the counter may take longer than the others are given.
   */
  void replaceUnanswered(CounterConnection unanswered) {
    if (retained != null) {
      unanswered.close();
      return;
    }
    retained = unanswered;
    connection = null;
    loop.schedule(
        () -> releaseRetained(unanswered),
        RETAINED_TIMEOUTS * callTimeoutNanos,
        TimeUnit.NANOSECONDS);
    if (!waiting.isEmpty()) {
      connection = connector.apply(this);
    }
  }

  private void releaseRetained(CounterConnection released) {
    if (retained == released) {
      retained = null;
      released.closeIfReplacedAndDone();
    }
  }

  /** Handles a response: a retained connection is used again unless the current one responds. */
  void responseReceived(CounterConnection responding) {
    if (retained == null) {
      return;
    }
    CounterConnection replaced = retained;
    if (responding == retained && (connection == null || !connection.hasResponded())) {
      replaced = connection;
      connection = responding;
    }
    retained = null;
    if (replaced != null) {
      replaced.closeIfReplacedAndDone();
    }
  }

  /** Replaces the connection; the previous one stays open for the calls written to it. */
  void reconnect() {
    if (retained != null) {
      releaseRetained(retained);
    }
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

  /** Returns whether calls are written to a connection. */
  boolean isCurrent(CounterConnection candidate) {
    return connection == candidate;
  }

  /** Returns whether calls are written to a connection, or may be once it responds. */
  boolean isUsed(CounterConnection candidate) {
    return isCurrent(candidate) || candidate == retained;
  }

  /** Stops the use of a connection that is about to end its calls. */
  void detach(CounterConnection closing) {
    if (connection == closing) {
      connection = null;
    }
    if (retained == closing) {
      retained = null;
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
