package merlinrouter.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import org.junit.jupiter.api.Test;

/** The endpoints of the most recent successful attempts. */
class RecentEndpointsTest {
  /** After 25 days at 1,000 requests a second each success threw, and its request stayed open. */
  @Test
  void moreSuccessesThanAnIntegerHoldsAreRecorded() {
    RecentEndpoints endpoints = new RecentEndpoints();
    for (long recorded = 0; recorded <= Integer.MAX_VALUE; recorded++) {
      endpoints.record(null);
    }
    assertDoesNotThrow(() -> endpoints.record(null));
  }
}
