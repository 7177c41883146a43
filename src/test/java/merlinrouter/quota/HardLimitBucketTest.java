package merlinrouter.quota;

import static merlinrouter.settings.TestSettings.UNLIMITED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import merlinrouter.settings.QuotaPlan;
import org.junit.jupiter.api.Test;

/** Tests a gateway's share of a hard limit. */
class HardLimitBucketTest {
  private static final QuotaPlan PLAN = new QuotaPlan(5, 20, 0, 1, 0, 1, 8, 32, 4);

  /** One of four gateways: its share is 2 of 8 units per second, and 8 of 32 burst units. */
  private final HardLimitBucket bucket = new HardLimitBucket(PLAN, 4);

  @Test
  void theBucketStartsEmptyAndRefillsAtTheGatewaysShareOfTheRate() {
    assertTrue(bucket.exceededBy(1));
    bucket.refill(1);
    assertFalse(bucket.exceededBy(2));
    assertTrue(bucket.exceededBy(3));
    assertEquals(0.5, bucket.secondsUntilAvailable(3), 1e-9);
  }

  @Test
  void theBucketHoldsTheGatewaysShareOfTheBurst() {
    bucket.refill(1000);
    assertTrue(bucket.isFull());
    assertTrue(bucket.exceededBy(9));
    bucket.take(8);
    assertTrue(bucket.exceededBy(1));
    bucket.take(-1);
    assertFalse(bucket.exceededBy(1));
  }

  @Test
  void aPlanWithoutAHardLimitIsNeverExceeded() {
    assertFalse(new HardLimitBucket(UNLIMITED, 4).exceededBy(1e9));
  }
}
