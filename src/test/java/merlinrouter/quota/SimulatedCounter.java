package merlinrouter.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import merlinrouter.model.Outcome;
import merlinrouter.time.Nanos;

/** A shared counter of limited capacity; each shard serves its calls in order at a fixed rate. */
final class SimulatedCounter {
  /** Receives the end of a call. */
  interface Caller {
    void callEnded(Outcome outcome, double total);
  }

  /** State of the counter: it either serves calls or leaves them unanswered. */
  enum State {
    SERVING,
    SILENT
  }

  /** Mean one-way latency between gateway and counter; most of it is spent in the gateway. */
  private static final double ONE_WAY_MEAN_NANOS = 6.0 * Nanos.PER_MILLI;

  private static final long RANDOM_SEED = 11;

  private final SplittableRandom random = new SplittableRandom(RANDOM_SEED);
  private final EventQueue events;
  private final long serviceNanos;
  private final long maxQueueNanos;
  private final long timeoutNanos;
  private final long[] busyUntilNanos;
  private final Map<Long, Double> totals = new HashMap<>();
  private State state = State.SERVING;
  private long calls;
  private long failedCalls;

  /**
   * Creates a counter without any totals.
   *
   * @param callsPerSecond capacity of all shards together
   * @param timeoutNanos time after which a caller gives up a call; a served call is counted anyway
   */
  SimulatedCounter(EventQueue events, double callsPerSecond, int shards, long timeoutNanos) {
    this.events = events;
    this.timeoutNanos = timeoutNanos;
    serviceNanos = (long) (shards * Nanos.PER_SECOND / callsPerSecond);
    maxQueueNanos = 2 * timeoutNanos;
    busyUntilNanos = new long[shards];
  }

  void setState(State newState) {
    state = newState;
  }

  void loseTotals() {
    totals.clear();
  }

  long calls() {
    return calls;
  }

  long failedCalls() {
    return failedCalls;
  }

  /** A gateway's connection, on which calls arrive and are answered in their order. */
  final class Connection {
    private long lastArrivalNanos;
    private long lastAnswerNanos;

    /** Starts a call; its end is always reported. */
    void add(long key, double units, Caller caller) {
      calls++;
      long sentNanos = events.nowNanos();
      lastArrivalNanos = Math.max(lastArrivalNanos, sentNanos + oneWayNanos());
      events.schedule(lastArrivalNanos, () -> arrived(key, units, sentNanos, caller));
    }

    private void arrived(long key, double units, long sentNanos, Caller caller) {
      int shard = (int) Math.floorMod(key, (long) busyUntilNanos.length);
      long startNanos = Math.max(events.nowNanos(), busyUntilNanos[shard]);
      if (state == State.SILENT) {
        timeOut(sentNanos, caller);
      } else if (startNanos - events.nowNanos() > maxQueueNanos) {
        failedCalls++;
        answer(() -> caller.callEnded(Outcome.REJECTED, 0));
      } else {
        busyUntilNanos[shard] = startNanos + serviceNanos;
        events.schedule(busyUntilNanos[shard], () -> served(key, units, sentNanos, caller));
      }
    }

    private void served(long key, double units, long sentNanos, Caller caller) {
      double total = totals.merge(key, units, Double::sum);
      if (Math.max(lastAnswerNanos, events.nowNanos()) - sentNanos > timeoutNanos) {
        timeOut(sentNanos, caller);
      } else {
        answer(() -> caller.callEnded(Outcome.OK, total));
      }
    }

    private void answer(Runnable end) {
      lastAnswerNanos = Math.max(lastAnswerNanos, events.nowNanos() + oneWayNanos());
      events.schedule(lastAnswerNanos, end);
    }

    private void timeOut(long sentNanos, Caller caller) {
      failedCalls++;
      lastAnswerNanos =
          Math.max(lastAnswerNanos, Math.max(events.nowNanos(), sentNanos + timeoutNanos));
      events.schedule(lastAnswerNanos, () -> caller.callEnded(Outcome.TIMEOUT, 0));
    }
  }

  private long oneWayNanos() {
    return (long) (ONE_WAY_MEAN_NANOS / 2 * (1 - Math.log(1 - random.nextDouble())));
  }
}
