package merlinrouter.loadbalancing;

import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.Test;

/** Tests the effect of load reports on an endpoint's latency. */
class LoadReportsTest {
  private final EventClock clock = new EventClock(100 * PER_SECOND);
  private final LoadReports reports = new LoadReports(List.of("waiting", "version"));
  private final EndpointTracker tracker = tracker();
  private final EndpointTracker other = tracker();

  private EndpointTracker tracker() {
    return new EndpointTracker(
        new Endpoint("a", 1, 0, 0, 0, EndpointState.READY, 0),
        new GroupStatistics(clock),
        clock,
        0);
  }

  @Test
  void busyEndpointCountsAsSlowerThanAnIdleOne() {
    reports.record(tracker, List.of(4.0, 0.0));
    reports.record(other, List.of(0.0, 0.0));
    assertTrue(reports.latencyFactor(tracker) > 1);
    assertTrue(reports.latencyFactor(other) < 1);
  }

  @Test
  void endpointWithoutReportedLoadIsAssumedToBeBusy() {
    reports.record(tracker, List.of());
    assertTrue(reports.latencyFactor(tracker) > 1);
  }

  @Test
  void valuesOtherThanLoadsAreIgnored() {
    reports.record(tracker, List.of(0.0, 1000.0));
    assertEquals(1, reports.latencyFactor(tracker));
  }

  @Test
  void effectOfAReportDecays() {
    reports.record(tracker, List.of(4.0));
    clock.advanceTo(130 * PER_SECOND);
    assertEquals(1, reports.latencyFactor(tracker), 1e-9);
  }

  @Test
  void loadReportsAreDisabledWithoutNamedValues() {
    assertTrue(reports.areEnabled());
    assertFalse(new LoadReports(List.of()).areEnabled());
  }
}
