package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.KEY_EVERYWHERE;
import static merlinrouter.settings.TestSettings.KEY_IN_CELL;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request is retried only if a second execution is harmless. */
class RetryTest {
  private final SimulatedHost host = new SimulatedHost(UNLIMITED, 3, 0);

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"OK"},
      mode = EnumSource.Mode.EXCLUDE)
  void aNonIdempotentRequestIsRetriedOnlyIfItWasNotExecuted(Outcome outcome) {
    host.withEndpoints(3);
    String id = host.request(NON_IDEMPOTENT, 1);
    host.endAttempt(id, outcome, false);
    if (outcome.provesNotExecuted()) {
      assertEquals(2, host.attemptsOf(id).size());
    } else {
      assertEquals(1, host.attemptsOf(id).size());
      assertEquals(List.of(id), host.failed);
      assertFalse(host.rejected.contains(id));
    }
  }

  @Test
  void aRetryWithAnIdempotencyKeyStaysInTheCellOfTheFirstAttempt() {
    host.withEndpoints(4);
    String id = host.request(KEY_IN_CELL, 1);
    host.endAttempt(id, Outcome.ERROR, false);
    List<SimulatedHost.Attempt> attempts = host.attemptsOf(id);
    assertEquals(2, attempts.size());
    String first = attempts.get(0).endpointId();
    String second = attempts.get(1).endpointId();
    assertNotEquals(first, second);
    assertEquals(first.charAt(0) % 2, second.charAt(0) % 2);
  }

  /**
   * Guards against an execution in two cells: the list moves the endpoint of the first attempt to
   * another cell while that attempt is in flight.
   */
  @Test
  void aRetryStaysInTheCellInWhichTheFirstAttemptWasStarted() {
    host.withEndpoints(4);
    String id = host.request(KEY_IN_CELL, 1);
    String first = host.attemptsOf(id).get(0).endpointId();
    int cell = (first.charAt(0) - 'a') % 2;
    host.updateEndpoint(first, 1 - cell, EndpointState.READY, 0);
    host.endAttempt(id, Outcome.RESET, false);
    String second = host.attemptsOf(id).get(1).endpointId();
    assertNotEquals(first, second);
    assertEquals(cell, (second.charAt(0) - 'a') % 2);
  }

  @Test
  void afterItsDeduplicationWindowARequestIsNeitherRetriedNorRejected() {
    host.withEndpoints(4);
    String id = host.request(KEY_IN_CELL, 1);
    host.nowNanos += 700 * PER_MILLI;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(1, host.attemptsOf(id).size());
    assertEquals(List.of(id), host.failed);
  }

  @Test
  void aRequestDeduplicatedByAllEndpointsMayBeRejectedAfterItsWindow() {
    host.withEndpoints(4);
    String id = host.request(KEY_EVERYWHERE, 1);
    host.nowNanos += 700 * PER_MILLI;
    host.endAttempt(id, Outcome.TIMEOUT, false);
    assertEquals(List.of(id), host.rejected);
  }

  @Test
  void retriesOfAttemptsThatWereNotExecutedDoNotUseTheRetryBudget() {
    SimulatedHost singleGatewayHost = new SimulatedHost(UNLIMITED, 1, 0).withEndpoints(6);
    for (int i = 0; i < 60; i++) {
      String id = singleGatewayHost.request(IDEMPOTENT, 1);
      singleGatewayHost.endAttempt(id, Outcome.REJECTED, false);
      assertEquals(2, singleGatewayHost.attemptsOf(id).size(), "request " + i);
      singleGatewayHost.endAttempt(id, Outcome.OK);
    }
  }
}
