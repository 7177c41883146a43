package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that cannot be served in time are rejected while their clients still wait. */
class DeadlineTest {
  private final SimulatedHost host = new SimulatedHost(UNLIMITED, 3, 0);

  @Test
  void aQueuedRequestIsRejectedWhenItsLatencyObjectivePasses() {
    String id = host.request(IDEMPOTENT, 1);
    assertEquals(List.of(), host.attempts);
    host.advance(PER_SECOND);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void aShortDeadlineQueuedBehindALongOneIsRejectedInTime() {
    SimulatedHost saturated = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(1);
    for (int i = 0; i < 6; i++) {
      saturated.request(IDEMPOTENT, 1);
    }
    saturated.request(IDEMPOTENT, 0, 1, 1, saturated.nowNanos + 3 * PER_SECOND);
    String urgent = saturated.request(IDEMPOTENT, 0, 1, 1, saturated.nowNanos + 300 * PER_MILLI);
    saturated.advance(300 * PER_MILLI);
    assertEquals(List.of(urgent), saturated.rejected);
  }

  @Test
  void aRequestThatArrivesWithNoTimeLeftIsRejectedImmediately() {
    host.withEndpoints(1);
    String id = host.request(IDEMPOTENT, 0, 1, 1, host.nowNanos + PER_MILLI);
    assertEquals(List.of(id), host.rejected);
    assertEquals(List.of(), host.attempts);
  }
}
