package merlinrouter.quota;

import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import merlinrouter.model.Outcome;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests which calls to the counter are allowed, and how their rate adapts. */
class CounterCallRateLimiterTest {
  private static final double HIGH_PRIORITY = 10;

  private final EventClock clock = new EventClock(0);
  private final CounterHealth health = new CounterHealth(clock);

  /** One of 100 gateways: initially 2 calls per second, and a bucket of 4 tokens. */
  private final CounterCallRateLimiter limiter =
      new CounterCallRateLimiter(100, health, clock, new SplittableRandom(1));

  private int callsIn(int seconds) {
    int calls = 0;
    long untilNanos = clock.nowNanos() + seconds * PER_SECOND;
    while (clock.nowNanos() < untilNanos) {
      clock.advanceTo(clock.nowNanos() + 10 * PER_MILLI);
      calls += limiter.tryAcquire(HIGH_PRIORITY) ? 1 : 0;
    }
    return calls;
  }

  @Test
  void requiredPriorityRisesAsTokensRunOut() {
    clock.advanceTo(10 * PER_SECOND);
    assertTrue(limiter.tryAcquire(0), "with 4 tokens, a call of any priority is allowed");
    assertFalse(limiter.tryAcquire(0.4));
    assertTrue(limiter.tryAcquire(0.5));
    assertTrue(limiter.tryAcquire(1));
    assertFalse(limiter.tryAcquire(1.4));
    assertTrue(limiter.tryAcquire(1.5));
    assertFalse(limiter.tryAcquire(HIGH_PRIORITY), "no token is left");
  }

  @Test
  void priorityIsNormalizedByTheMean() {
    for (int i = 0; i < 1000; i++) {
      limiter.normalizePriority(3);
    }
    assertEquals(1, limiter.normalizePriority(3), 1e-6);
    assertEquals(2, limiter.normalizePriority(6), 0.1);
  }

  @Test
  void slowCallsLowerTheRateAndFastOnesRaiseItAgain() {
    int before = callsIn(20);
    endCalls(Outcome.TIMEOUT, 50 * PER_MILLI);
    int slow = callsIn(20);
    endCalls(Outcome.OK, 5 * PER_MILLI);
    int fast = callsIn(20);
    assertTrue(
        slow < before,
        "expected fewer than " + before + " calls in 20 s after slow calls, got " + slow);
    assertTrue(
        fast > slow, "expected more than " + slow + " calls in 20 s after fast calls, got " + fast);
  }

  private void endCalls(Outcome outcome, long durationNanos) {
    for (int i = 0; i < 20; i++) {
      clock.advanceTo(clock.nowNanos() + PER_SECOND / 4);
      limiter.tryAcquire(HIGH_PRIORITY);
      limiter.tryAcquire(HIGH_PRIORITY);
      limiter.callEnded(outcome, durationNanos, 50 * PER_MILLI);
    }
  }

  @Test
  void aSilentCounterGetsOneCallASecond() {
    clock.advanceTo(PER_SECOND);
    for (int i = 0; i < 3; i++) {
      health.recordCall(false);
    }
    callsIn(10);
    assertEquals(20, callsIn(20), 1);
  }

  /** Calls without a response do not show the load that a counter bears once it is back. */
  @Test
  void theRateAfterALongSilenceIsThatAfterAShortOne() {
    for (int i = 0; i < 8; i++) {
      callsIn(1);
      limiter.callEnded(Outcome.OK, 5 * PER_MILLI, 50 * PER_MILLI);
    }
    int before = callsIn(1);
    for (int i = 0; i < 40; i++) {
      clock.advanceTo(clock.nowNanos() + PER_SECOND);
      limiter.tryAcquire(HIGH_PRIORITY);
      limiter.callEnded(Outcome.TIMEOUT, 50 * PER_MILLI, 50 * PER_MILLI);
      health.recordCall(false);
    }
    limiter.callEnded(Outcome.OK, 5 * PER_MILLI, 50 * PER_MILLI);
    health.recordCall(true);
    callsIn(1);
    int after = callsIn(1);
    assertTrue(
        after >= before / 4,
        after + " calls per second after the silence, at least a quarter of " + before + " due");
  }

  @Test
  void rejectionsLowerTheRateAlsoDuringASilence() {
    clock.advanceTo(PER_SECOND);
    for (int i = 0; i < 3; i++) {
      health.recordCall(false);
    }
    for (int i = 0; i < 40; i++) {
      clock.advanceTo(clock.nowNanos() + PER_SECOND);
      limiter.callEnded(Outcome.REJECTED, PER_MILLI, 50 * PER_MILLI);
    }
    health.recordCall(true);
    callsIn(10);
    assertEquals(10, callsIn(10), 1);
  }

  @Test
  void theRateGrowsFastUntilACallIsSlow() {
    callsIn(2);
    for (int i = 0; i < 8; i++) {
      clock.advanceTo(clock.nowNanos() + PER_SECOND / 4);
      limiter.tryAcquire(0);
      callsIn(1);
      limiter.callEnded(Outcome.OK, 5 * PER_MILLI, 50 * PER_MILLI);
    }
    int fast = callsIn(1);
    assertTrue(fast >= 40, fast + " calls per second, at least 40 expected");
    limiter.callEnded(Outcome.OK, 30 * PER_MILLI, 50 * PER_MILLI);
    int before = callsIn(1);
    callsIn(1);
    limiter.callEnded(Outcome.OK, 5 * PER_MILLI, 50 * PER_MILLI);
    int after = callsIn(1);
    assertTrue(
        after <= 1.3 * before,
        after + " calls per second after a fast call, at most 1.3 times " + before + " allowed");
  }
}
