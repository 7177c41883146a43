package merlinrouter.gateway;

import static merlinrouter.settings.TestSettings.IDEMPOTENT;
import static merlinrouter.settings.TestSettings.NON_IDEMPOTENT;
import static merlinrouter.settings.TestSettings.UNLIMITED;
import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import merlinrouter.model.EndpointState;
import merlinrouter.model.Outcome;
import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** Customers and endpoints change continually, so state no longer needed must be dropped. */
class RetentionTest {
  /** The maximum number of accounts of customers. */
  private static final int MAX_ACCOUNTS = 32_768;

  private static final long FLOOD_CUSTOMERS = 40_000;

  @Test
  void aCustomerIsDroppedWhenItsQuotaHasRefilledAndNotBefore() {
    QuotaPlan plan = new QuotaPlan(1, 4, 0, 1, 0, 1, 2, 8, 4);
    SimulatedHost host = SimulatedHost.withoutCounter(plan, 1).withEndpoints(2);
    host.advance(10 * PER_SECOND);
    for (long customer = 0; customer < 300; customer++) {
      host.endAttempt(requestUnits(host, customer, 1), Outcome.OK);
    }
    String open = host.request(NON_IDEMPOTENT, 0, 1000, 1, host.nowNanos + 90 * PER_SECOND);
    host.endAttempt(requestUnits(host, 1001, 4), Outcome.OK);
    host.advance(2 * PER_SECOND);
    assertEquals(304, host.gateway.trackedCustomerAndEndpointCount());
    String early = requestUnits(host, 1001, 4);
    assertTrue(host.rejected.contains(early), "the state of a used-up quota must be kept");
    host.advance(50 * PER_SECOND);
    assertEquals(
        3,
        host.gateway.trackedCustomerAndEndpointCount(),
        "two endpoints and the customer whose request is open");
    host.endAttempt(open, Outcome.OK);
    host.advance(50 * PER_SECOND);
    assertEquals(2, host.gateway.trackedCustomerAndEndpointCount());
    String later = requestUnits(host, 1001, 4);
    assertEquals(1, host.attemptsOf(later).size());
  }

  /** Otherwise memory use grows with the number of customers ever seen. */
  @Test
  void aCustomerWithoutHardLimitOrQuotaIsDroppedToo() {
    QuotaPlan withoutHardLimit = new QuotaPlan(1, 4, 0, 1, 0, 1, 0, 0, 0);
    for (QuotaPlan plan : List.of(withoutHardLimit, UNLIMITED)) {
      SimulatedHost host = SimulatedHost.withoutCounter(plan, 1).withEndpoints(2);
      for (long customer = 0; customer < 300; customer++) {
        host.endAttempt(requestUnits(host, customer, 1), Outcome.OK);
      }
      assertEquals(302, host.gateway.trackedCustomerAndEndpointCount());
      host.advance(50 * PER_SECOND);
      assertEquals(2, host.gateway.trackedCustomerAndEndpointCount());
    }
  }

  /**
   * Guards against a client that comes as ever new customers: within the time for which an account
   * is kept their accounts filled the heap. A customer that goes on sending keeps its account.
   */
  @Test
  void accountsAreLimitedHoweverManyCustomersCome() {
    SimulatedHost host =
        SimulatedHost.withoutCounter(new QuotaPlan(1, 4, 0, 1, 0, 1, 2, 8, 4), 1).withEndpoints(2);
    host.advance(10 * PER_SECOND);
    host.endAttempt(requestUnits(host, 2, 4), Outcome.OK);
    for (long customer = 3; customer < FLOOD_CUSTOMERS; customer++) {
      host.endAttempt(requestUnits(host, customer, 1), Outcome.OK);
      host.attempts.clear();
      if (customer % 1000 == 0) {
        assertTrue(
            host.rejected.contains(requestUnits(host, 2, 4)), "customer 2 is over its quota");
      }
    }
    assertEquals(MAX_ACCOUNTS + 2, host.gateway.trackedCustomerAndEndpointCount());
  }

  private static String requestUnits(SimulatedHost host, long customer, double units) {
    return host.request(IDEMPOTENT, 0, customer, units, host.nowNanos + 3 * PER_SECOND);
  }

  @Test
  void aRemovedEndpointIsDroppedWithItsLastAttempt() {
    SimulatedHost host = new SimulatedHost(UNLIMITED, 1, 0);
    host.updateEndpoint("a", 0, EndpointState.READY, 0);
    String id = host.request(NON_IDEMPOTENT, 0, 1, 1, host.nowNanos + 90 * PER_SECOND);
    for (int i = 0; i < 100; i++) {
      host.updateEndpoint("n" + i, 0, EndpointState.READY, 0);
      host.updateEndpoint("n" + i, 0, EndpointState.REMOVED, 0);
    }
    assertEquals(
        102,
        host.gateway.trackedCustomerAndEndpointCount(),
        "removed endpoints are kept for 30 s, since they may be listed again");
    host.updateEndpoint("a", 0, EndpointState.REMOVED, 0);
    host.advance(31 * PER_SECOND);
    host.updateEndpoint("b", 0, EndpointState.READY, 0);
    assertEquals(
        3,
        host.gateway.trackedCustomerAndEndpointCount(),
        "the customer, b, and a with its attempt");
    host.endAttempt(id, Outcome.RESET);
    assertTrue(host.failed.contains(id));
    host.updateEndpoint("unknown", 0, EndpointState.REMOVED, 0);
    assertEquals(2, host.gateway.trackedCustomerAndEndpointCount());
  }
}
