package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When bytes that wait on a connection arrived. */
class ArrivalTimesTest {
  private static final long MS = 1_000_000L;

  private final ArrivalTimes times = new ArrivalTimes();

  @Test
  void eachRequestHasTheTimeOfItsFirstByte() {
    times.add(10, 0);
    times.add(20, 50 * MS);
    times.add(5, 100 * MS);
    assertEquals(0, arrivalOfNextAfter(35));
    assertEquals(0, arrivalOfNextAfter(30), "within the first read");
    assertEquals(50 * MS, arrivalOfNextAfter(25), "exactly at the first read's end");
    assertEquals(50 * MS, arrivalOfNextAfter(15), "within the second read");
    assertEquals(100 * MS, arrivalOfNextAfter(5), "exactly at the second read's end");
  }

  @Test
  void bytesBehindDecodedOnesHaveTheirOwnTime() {
    times.add(10, 0);
    times.decodedUpTo(0);
    times.add(10, 50 * MS);
    assertEquals(50 * MS, arrivalOfNextAfter(10));
  }

  @Test
  void readsCloseTogetherCountAsTheEarliest() {
    times.add(10, 0);
    times.add(10, 9 * MS);
    times.add(10, 10 * MS);
    assertEquals(0, arrivalOfNextAfter(20));
    assertEquals(0, arrivalOfNextAfter(11));
    assertEquals(10 * MS, arrivalOfNextAfter(10));
  }

  @Test
  void furtherReadsAreMergedIntoTheLast() {
    for (int i = 0; i < 100; i++) {
      times.add(1, i * 20 * MS);
    }
    assertEquals(62 * 20 * MS, arrivalOfNextAfter(38));
    assertEquals(63 * 20 * MS, arrivalOfNextAfter(37));
    assertEquals(63 * 20 * MS, arrivalOfNextAfter(1));
  }

  /** The arrival of the next byte once all but some of the received bytes are decoded. */
  private long arrivalOfNextAfter(int waitingBytes) {
    times.decodedUpTo(waitingBytes);
    return times.nextByteArrivedNanos();
  }
}
