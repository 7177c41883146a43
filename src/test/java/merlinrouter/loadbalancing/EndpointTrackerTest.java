package merlinrouter.loadbalancing;

import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import merlinrouter.model.AttemptResult;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests an endpoint's statistics, outlier status and retention. */
class EndpointTrackerTest {
  private static final double EXPECTED_SECONDS = 0.1;
  private static final int ENDPOINT_COUNT = 100;

  private final EventClock clock = new EventClock(PER_SECOND);
  private final EndpointTracker tracker =
      new EndpointTracker(
          new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, 0),
          new GroupStatistics(clock),
          clock,
          0);

  private boolean observe(Outcome outcome, long durationNanos) {
    return tracker.observe(
        new AttemptResult("r0", outcome, durationNanos, "a", true, 0, 0, List.of()),
        EXPECTED_SECONDS,
        ENDPOINT_COUNT);
  }

  @Test
  void failedConnectMakesAnOutlierImmediatelyAndFourSuccessesEndIt() {
    assertTrue(observe(Outcome.CONNECT_FAILED, PER_MILLI));
    assertTrue(tracker.isOutlier());
    for (int i = 0; i < 3; i++) {
      assertFalse(observe(Outcome.OK, PER_MILLI), "success " + i);
    }
    assertTrue(observe(Outcome.OK, PER_MILLI));
    assertFalse(tracker.isOutlier());
  }

  @Test
  void twoErrorsMakeAnOutlierAndOneDoesNot() {
    assertFalse(observe(Outcome.ERROR, PER_MILLI));
    assertTrue(observe(Outcome.ERROR, PER_MILLI));
  }

  @Test
  void rejectionsNeverMakeAnOutlier() {
    for (int i = 0; i < 100; i++) {
      assertFalse(observe(Outcome.REJECTED, PER_MILLI));
    }
    assertFalse(tracker.isOutlier());
  }

  @Test
  void fastFailureCountsAsThreeTimesTheExpectedTime() {
    observe(Outcome.ERROR, PER_MILLI);
    assertEquals(1 + 0.12 * (3 - 1), tracker.relativeLatency(), 1e-9);
  }

  @Test
  void errorRateDecaysTowardTheMeanOfItsZone() {
    observe(Outcome.ERROR, PER_MILLI);
    assertEquals(0.4, tracker.errorRate(), 1e-9);
    clock.advanceTo(61 * PER_SECOND);
    assertEquals(0, tracker.errorRate(), 0.01);
  }

  @Test
  void removedEndpointIsKeptForThirtySecondsAndWhileAnAttemptIsInFlight() {
    BalancedRequest request = new TestRequest();
    tracker.attemptStarted(request);
    tracker.markRemoved();
    clock.advanceTo(31 * PER_SECOND);
    assertFalse(tracker.isDisposable());
    tracker.attemptEnded(request);
    assertTrue(tracker.isDisposable());
    clock.advanceTo(31 * PER_SECOND - 1);
    assertFalse(tracker.isDisposable());
  }

  private record TestRequest() implements BalancedRequest {
    @Override
    public double expectedServiceSeconds() {
      return EXPECTED_SECONDS;
    }

    @Override
    public long attemptStartedAtNanos() {
      return PER_SECOND;
    }
  }
}
