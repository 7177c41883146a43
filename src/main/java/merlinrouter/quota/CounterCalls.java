package merlinrouter.quota;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import merlinrouter.model.Outcome;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.time.EventClock;

/** The calls to the shared counter that are under way, and whether more may be made. */
final class CounterCalls {
  /** A call is overdue after this many timeouts. */
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

  /** Returns a priority relative to the mean of all so far, to which it is added first. */
  double normalizePriority(double priority) {
    return rateLimiter.normalizePriority(priority);
  }

  /** Whether a call with a relative priority may be made now; if so, it has to be made. */
  boolean tryAcquire(double relativePriority) {
    return rateLimiter.tryAcquire(relativePriority);
  }

  /** Makes a call; calls with one key end in their order. */
  void start(long counterKey, CounterCall call, long timeToLiveNanos) {
    callsByKey.computeIfAbsent(counterKey, key -> new ArrayDeque<>()).add(call);
    counter.add(counterKey, call.units(), timeToLiveNanos);
  }

  /** Takes out the call that ended; null if none with this key is under way. */
  CounterCall end(long counterKey, Outcome outcome) {
    ArrayDeque<CounterCall> calls = callsByKey.get(counterKey);
    CounterCall call = calls == null ? null : calls.poll();
    if (call == null) {
      return null;
    }
    if (calls.isEmpty()) {
      callsByKey.remove(counterKey);
    }
    rateLimiter.callEnded(outcome, clock.nanosSince(call.startedAtNanos()), timeoutNanos);
    if (health.recordCall(outcome == Outcome.OK)) {
      log.accept(
          health.isSilent()
              ? "counter silent: quotas are divided among the gateways"
              : "counter answers again");
    }
    return call;
  }

  /** Passes on each call that a host should have ended a timeout ago. */
  void forEachOverdue(Consumer<CounterCall> action) {
    long dueNanos = clock.nowNanos() - OVERDUE_TIMEOUTS * timeoutNanos;
    for (ArrayDeque<CounterCall> calls : callsByKey.values()) {
      for (CounterCall call : calls) {
        if (call.startedAtNanos() < dueNanos) {
          action.accept(call);
        }
      }
    }
  }
}
