package merlinrouter.loadbalancing;

import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.settings.TestSettings;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests how much work one gateway forwards to endpoints that are warming up. */
class SlowStartTest {
  private static final long START_NANOS = 100 * PER_SECOND;
  private static final double EXPECTED_SECONDS = 0.1;

  private final EventClock clock = new EventClock(START_NANOS);
  private final ForwardedWork forwardedWork = new ForwardedWork(clock);
  private final SlowStart slowStart =
      new SlowStart(
          TestSettings.gateway(UNLIMITED, 10).rules(),
          10,
          forwardedWork,
          clock,
          new SplittableRandom(5));
  private final EndpointTracker cold = tracker(START_NANOS);
  private final EndpointTracker warm = tracker(0);

  private EndpointTracker tracker(long startedAtNanos) {
    return new EndpointTracker(
        new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, startedAtNanos),
        new GroupStatistics(clock),
        clock,
        0);
  }

  @Test
  void capacityRisesFromTheInitialFractionToFullCapacity() {
    assertEquals(0.25, slowStart.capacityFraction(cold.endpoint()));
    clock.advanceTo(START_NANOS + 5 * PER_SECOND);
    assertEquals(0.625, slowStart.capacityFraction(cold.endpoint()));
    clock.advanceTo(START_NANOS + 20 * PER_SECOND);
    assertEquals(1, slowStart.capacityFraction(cold.endpoint()));
  }

  @Test
  void endpointWarmsUpForTheSlowStartDuration() {
    assertTrue(slowStart.isWarmingUp(cold));
    assertFalse(slowStart.isWarmingUp(warm), "an endpoint without a start time has warmed up");
    clock.advanceTo(START_NANOS + 10 * PER_SECOND - 1);
    assertTrue(slowStart.isWarmingUp(cold));
    clock.advanceTo(START_NANOS + 10 * PER_SECOND);
    assertFalse(slowStart.isWarmingUp(cold));
  }

  /** Counts the requests permitted in ten decisions per second on each endpoint during warm-up. */
  private int permittedRequests(List<EndpointTracker> coldTrackers, List<EndpointTracker> ready) {
    int permitted = 0;
    for (int step = 0; step < 100; step++) {
      clock.advanceTo(START_NANOS + step * 100 * PER_MILLI);
      if (ready.contains(warm)) {
        forwardedWork.record(EXPECTED_SECONDS);
      }
      for (EndpointTracker tracker : coldTrackers) {
        permitted += slowStart.trySelect(tracker, EXPECTED_SECONDS, ready) ? 1 : 0;
      }
    }
    return permitted;
  }

  private List<EndpointTracker> coldTrackers(int count) {
    return Stream.generate(() -> tracker(START_NANOS)).limit(count).toList();
  }

  @Test
  void coldEndpointReceivesItsFractionOfTheRateOfAWarmOne() {
    for (int step = 600; step > 0; step--) {
      clock.advanceTo(START_NANOS - step * 100 * PER_MILLI);
      forwardedWork.record(EXPECTED_SECONDS);
    }
    clock.advanceTo(START_NANOS);
    // The warm endpoint receives 10 requests per second; the mean fraction over 10 s is 5/8.
    assertEquals(20 * 62.5, permittedRequests(coldTrackers(20), List.of(warm)), 150);
  }

  @Test
  void withoutWarmEndpointsEachColdOneReceivesOneRequestAtATimeFromTheFleet() {
    List<EndpointTracker> trackers = coldTrackers(200);
    // One of 10 gateways forwards 1 request per second, times the mean fraction 5/8, for 10 s.
    assertEquals(200 * 6.25, permittedRequests(trackers, trackers), 150);
  }
}
