package merlinrouter.node;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import merlinrouter.settings.TestSettings;
import org.junit.jupiter.api.Test;

/**
 * Tests that each request gets one final response in time, unless its client disconnects, in any
 * order of events: in random orders by seed, and in all orders of a few events. A failure message
 * contains the seed or the order, and the trace of events.
 */
class EventOrderExplorationTest {
  private static final int SEEDS = 1_500;
  private static final int STEPS = 60;
  private static final int GATEWAYS = 3;
  private static final long[] TIMEOUTS_MILLIS = {1, 15, 60, 200, 480, 1_000, 2_000};
  private static final long[] STALLS_MILLIS = {150, 300, 600};
  private static final String[] ENDPOINTS = {"a", "b", "c"};

  /** Longer than the timeout of any request. */
  private static final long LAST_RESPONSE_NANOS = 4 * PER_SECOND;

  /** Longer than an ejection or the slow start of an endpoint. */
  private static final long RECOVERY_NANOS = 120 * PER_SECOND;

  private static final List<QuotaPlan> PLANS =
      List.of(
          UNLIMITED,
          TestSettings.quota(20, 15),
          new QuotaPlan(0, 0, 2, 1, 0, 0, 0, 0, 0),
          new QuotaPlan(20, 15, 0, 1, 0.9, 0.5, 40, 30, 2));

  private static final Outcome[] ATTEMPT_OUTCOMES = {
    Outcome.OK,
    Outcome.OK,
    Outcome.OK,
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.RESET,
    Outcome.CONNECT_FAILED,
    Outcome.NOT_SENT,
    null
  };

  private static final Outcome[] COUNTER_OUTCOMES = {
    Outcome.OK, Outcome.OK, Outcome.REJECTED, Outcome.RESET, Outcome.CONNECT_FAILED, null
  };

  private static long millis(long count) {
    return count * PER_MILLI;
  }

  /** Random ends of attempts and counter calls; successes only if {@code onlySuccesses} is set. */
  private static final class RandomEnds implements VirtualTimeHost.EndPlan {
    private final SplittableRandom random;
    private boolean onlySuccesses;

    RandomEnds(SplittableRandom random) {
      this.random = random;
    }

    @Override
    public VirtualTimeHost.PlannedEnd nextAttemptEnd() {
      return plannedEnd(ATTEMPT_OUTCOMES, 400);
    }

    @Override
    public VirtualTimeHost.PlannedEnd nextCounterCallEnd() {
      return plannedEnd(COUNTER_OUTCOMES, 60);
    }

    private VirtualTimeHost.PlannedEnd plannedEnd(Outcome[] outcomes, int maxDelayMillis) {
      Outcome outcome = outcomes[random.nextInt(outcomes.length)];
      long delayNanos = random.nextLong(millis(maxDelayMillis));
      return onlySuccesses
          ? new VirtualTimeHost.PlannedEnd(Outcome.OK, PER_MILLI)
          : new VirtualTimeHost.PlannedEnd(outcome, delayNanos);
    }
  }

  @Test
  void eachRequestGetsOneResponseInTimeInRandomOrdersOfEvents() {
    for (long seed = 0; seed < SEEDS; seed++) {
      explore(seed);
    }
  }

  private static void explore(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RandomEnds endPlan = new RandomEnds(random.split());
    QuotaPlan plan = PLANS.get(random.nextInt(PLANS.size()));
    boolean counterPresent = random.nextInt(4) > 0;
    VirtualTimeHost host =
        new VirtualTimeHost(
            TestSettings.gateway(plan, GATEWAYS, 0, counterPresent, false), endPlan, seed);
    try {
      long endNanos = scheduleSteps(host, random);
      host.runUntil(endNanos + LAST_RESPONSE_NANOS);
      host.checkAllEnded();
      if (!host.isDraining()) {
        checkNothingIsLeaked(host, endPlan, endNanos + LAST_RESPONSE_NANOS);
      }
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + ": " + e + "\n" + host.trace(), e);
    }
  }

  /** Schedules all external events; returns the time of the last one. */
  private static long scheduleSteps(VirtualTimeHost host, SplittableRandom random) {
    List<VirtualTimeHost.Request> requests = new ArrayList<>();
    long atNanos = 0;
    for (int i = 0; i < STEPS; i++) {
      // Often several events have the same time.
      atNanos += random.nextInt(3) == 0 ? 0 : random.nextLong(millis(40));
      int kind = random.nextInt(20);
      if (kind < 9 || requests.isEmpty()) {
        requests.add(scheduleRequest(host, random, atNanos, "r" + i));
      } else if (kind < 13) {
        // One of the latest requests, which may be open.
        int back = 1 + random.nextInt(Math.min(3, requests.size()));
        VirtualTimeHost.Request request = requests.get(requests.size() - back);
        host.schedule(atNanos, () -> host.disconnect(request));
      } else if (kind < 17) {
        scheduleEndpointUpdates(host, random, atNanos);
      } else if (kind < 19) {
        long stallNanos = millis(STALLS_MILLIS[random.nextInt(STALLS_MILLIS.length)]);
        host.schedule(atNanos, () -> host.stall(stallNanos));
      } else if (i > STEPS / 2) {
        host.schedule(atNanos, host::drain);
      }
    }
    return atNanos;
  }

  private static VirtualTimeHost.Request scheduleRequest(
      VirtualTimeHost host, SplittableRandom random, long atNanos, String id) {
    int classIndex = random.nextInt(TestSettings.requestClasses().size());
    long customer = 1 + random.nextInt(3);
    double units = 1 + random.nextInt(3);
    long timeoutNanos = millis(TIMEOUTS_MILLIS[random.nextInt(TIMEOUTS_MILLIS.length)]);
    return host.scheduleRequest(atNanos, id, classIndex, customer, units, timeoutNanos);
  }

  /** Schedules changes of all endpoints, or of one, to the same state. */
  private static void scheduleEndpointUpdates(
      VirtualTimeHost host, SplittableRandom random, long atNanos) {
    boolean all = random.nextBoolean();
    int only = random.nextInt(ENDPOINTS.length);
    boolean startsNow = random.nextInt(4) == 0;
    int kind = random.nextInt(5);
    EndpointState state =
        kind < 3 ? EndpointState.READY : kind == 3 ? EndpointState.DRAINING : EndpointState.REMOVED;
    for (int i = 0; i < ENDPOINTS.length; i++) {
      String id = ENDPOINTS[i];
      if (all || i == only) {
        host.schedule(atNanos, () -> host.updateEndpoint(id, state, startsNow));
      }
    }
  }

  /**
   * Checks that earlier requests leave no state that delays a later one: with all endpoints ready
   * again, a request is sent immediately, as by a new gateway.
   */
  private static void checkNothingIsLeaked(
      VirtualTimeHost host, RandomEnds endPlan, long fromNanos) {
    endPlan.onlySuccesses = true;
    for (String id : ENDPOINTS) {
      host.schedule(fromNanos, () -> host.updateEndpoint(id, EndpointState.READY, false));
    }
    long probeNanos = fromNanos + RECOVERY_NANOS;
    VirtualTimeHost.Request probe =
        host.scheduleRequest(probeNanos, "probe", IDEMPOTENT, 1, 1, millis(2_000));
    host.runUntil(probeNanos + millis(100));
    host.checkAllEnded();
    assertEquals(
        1, probe.attempts(), "attempts of a request when all attempts and counter calls succeed");
  }

  /** The events that are tried in all orders. */
  private enum Step {
    REQUEST,
    COUNTER_CALL_ENDED,
    ENDPOINT_REMOVED,
    ENDPOINT_READY,
    ATTEMPT_REJECTED,
    CLIENT_DISCONNECTED,
    STALL
  }

  /** Attempts and counter calls end only by a step or by their timeouts. */
  private static final class TimeoutsOnly implements VirtualTimeHost.EndPlan {
    private static final VirtualTimeHost.PlannedEnd TIMEOUT =
        new VirtualTimeHost.PlannedEnd(null, 0);

    @Override
    public VirtualTimeHost.PlannedEnd nextAttemptEnd() {
      return TIMEOUT;
    }

    @Override
    public VirtualTimeHost.PlannedEnd nextCounterCallEnd() {
      return TIMEOUT;
    }
  }

  @Test
  void eachRequestGetsOneResponseInTimeInAllOrdersOfFewEvents() {
    List<Step> steps = List.of(Step.values());
    for (long gapMillis : new long[] {0, 15, 60}) {
      permute(new ArrayList<>(), steps, gapMillis);
    }
  }

  private static void permute(List<Step> done, List<Step> left, long gapMillis) {
    if (left.isEmpty()) {
      runInOrder(done, gapMillis);
      return;
    }
    for (Step next : left) {
      List<Step> extended = new ArrayList<>(done);
      extended.add(next);
      permute(extended, left.stream().filter(step -> step != next).toList(), gapMillis);
    }
  }

  private static void runInOrder(List<Step> order, long gapMillis) {
    VirtualTimeHost host =
        new VirtualTimeHost(
            TestSettings.gateway(TestSettings.quota(20, 5), GATEWAYS, 0, true, false),
            new TimeoutsOnly(),
            1);
    try {
      host.updateEndpoint("a", EndpointState.READY, false);
      VirtualTimeHost.Request request =
          host.scheduleRequest(
              order.indexOf(Step.REQUEST) * millis(gapMillis), "r", IDEMPOTENT, 1, 1, millis(480));
      for (int i = 0; i < order.size(); i++) {
        Step step = order.get(i);
        host.schedule(i * millis(gapMillis), () -> perform(host, request, step));
      }
      host.runUntil(LAST_RESPONSE_NANOS);
      host.checkAllEnded();
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError(
          order + ", " + gapMillis + " ms apart: " + e + "\n" + host.trace(), e);
    }
  }

  private static void perform(VirtualTimeHost host, VirtualTimeHost.Request request, Step step) {
    switch (step) {
      case REQUEST -> {
        // Scheduled by the caller.
      }
      case COUNTER_CALL_ENDED -> host.endOldestCounterCall(Outcome.OK);
      case ENDPOINT_REMOVED -> host.updateEndpoint("a", EndpointState.REMOVED, false);
      case ENDPOINT_READY -> host.updateEndpoint("a", EndpointState.READY, false);
      case ATTEMPT_REJECTED -> host.endOldestAttempt(Outcome.REJECTED);
      case CLIENT_DISCONNECTED -> host.disconnect(request);
      case STALL -> host.stall(millis(300));
      default -> throw new IllegalArgumentException(step.toString());
    }
  }
}
