package merlinrouter.retry;

import static merlinrouter.time.Nanos.PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import merlinrouter.settings.RequestLimits;
import org.junit.jupiter.api.Test;

/** Tests the bounds on the time after which a rejected client should retry. */
class RetryAfterTest {
  @Test
  void theTimeIsBoundedByTheLongestThatClientsHonour() {
    RetryAfter retryAfter =
        new RetryAfter(new RequestLimits(4, 1000, false, true, 5 * PER_SECOND, false, 0));
    assertEquals(2 * PER_SECOND, retryAfter.nanos(2));
    assertEquals(5 * PER_SECOND, retryAfter.nanos(60));
    assertEquals(5 * PER_SECOND, retryAfter.nanos(Double.POSITIVE_INFINITY));
    assertEquals(0, retryAfter.nanos(-1));
  }
}
