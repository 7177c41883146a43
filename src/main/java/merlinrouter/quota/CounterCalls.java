package merlinrouter.quota;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/** Tracks the calls to the shared counter that are in flight, and limits the rate of new ones. */
final class CounterCalls {
  /** A call is overdue after its timeout multiplied by this. */
  private static final int OVERDUE_TIMEOUTS = 2;

  private final Map<Long, ArrayDeque<CounterCall>> callsByKey = new LinkedHashMap<>();
  private final SharedCounter counter;
  private final Consumer<String> log;
  private final EventClock clock;
  private final long timeoutNanos;
  private final CounterHealth health;
  private final CounterCallRateLimiter rateLimiter;

  CounterCalls(
      GatewaySettings settings,
      SharedCounter counter,
      Consumer<String> log,
      EventClock clock,
      SplittableRandom random) {
    this.counter = counter;
    this.log = log;
    this.clock = clock;
    timeoutNanos = settings.counter().timeoutNanos();
    health = new CounterHealth(clock);
    rateLimiter = new CounterCallRateLimiter(settings.gatewayCount(), health, clock, random);
  }

  boolean isCounterSilent() {
    return health.isSilent();
  }

  /** Adds a priority to the moving average and returns it relative to the average. */
  double normalizePriority(double priority) {
    return rateLimiter.normalizePriority(priority);
  }

  /** Returns whether a call with a relative priority may be made now; if so, it must be made. */
  boolean tryAcquire(double relativePriority) {
    return rateLimiter.tryAcquire(relativePriority);
  }

  /** Starts a call. Calls with the same key end in the order in which they were started. */
  void start(long counterKey, CounterCall call, long timeToLiveNanos) {
    callsByKey.computeIfAbsent(counterKey, key -> new ArrayDeque<>()).add(call);
    counter.add(counterKey, call.units(), timeToLiveNanos);
  }

  /** Removes and returns the call that ended; null if no call with this key is in flight. */
  CounterCall remove(long counterKey) {
    ArrayDeque<CounterCall> calls = callsByKey.get(counterKey);
    CounterCall call = calls == null ? null : calls.poll();
    if (call != null && calls.isEmpty()) {
      callsByKey.remove(counterKey);
    }
    return call;
  }

  /** Records how a call ended. */
  void recordEnd(CounterCall call, Outcome outcome) {
    rateLimiter.callEnded(outcome, clock.nanosSince(call.startedAtNanos()), timeoutNanos);
    if (health.recordCall(outcome == Outcome.OK)) {
      log.accept(
          health.isSilent()
              ? "shared counter does not answer: quotas are divided among the gateways"
              : "shared counter answers again");
    }
  }

  /** Passes each call to the action that the host should have ended at least one timeout ago. */
  void forEachOverdue(Consumer<CounterCall> action) {
    long overdueBeforeNanos = clock.nowNanos() - OVERDUE_TIMEOUTS * timeoutNanos;
    for (ArrayDeque<CounterCall> calls : callsByKey.values()) {
      for (CounterCall call : calls) {
        if (call.startedAtNanos() < overdueBeforeNanos) {
          action.accept(call);
        }
      }
    }
  }
}
