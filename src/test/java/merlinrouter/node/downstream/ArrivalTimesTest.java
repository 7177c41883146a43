package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When bytes that wait on a connection arrived. */
class ArrivalTimesTest {
  private static final long MS = 1_000_000L;

  private final ArrivalTimes times = new ArrivalTimes();

  @Test
  void eachRequestHasTheTimeOfItsLastByte() {
    times.add(10, 0);
    times.add(20, 50 * MS);
    times.add(5, 100 * MS);
    assertEquals(0, times.decodedUpTo(30), "within the first read");
    assertEquals(50 * MS, times.decodedUpTo(15), "across the first read's end");
    assertEquals(50 * MS, times.decodedUpTo(5), "exactly at the second read's end");
    assertEquals(100 * MS, times.decodedUpTo(0));
  }

  @Test
  void readsCloseTogetherCountAsTheEarliest() {
    times.add(10, 0);
    times.add(10, 9 * MS);
    times.add(10, 10 * MS);
    assertEquals(0, times.decodedUpTo(11));
    assertEquals(0, times.decodedUpTo(10));
    assertEquals(10 * MS, times.decodedUpTo(0));
  }

  @Test
  void furtherReadsAreMergedIntoTheLast() {
    for (int i = 0; i < 100; i++) {
      times.add(1, i * 20 * MS);
    }
    assertEquals(62 * 20 * MS, times.decodedUpTo(37));
    assertEquals(63 * 20 * MS, times.decodedUpTo(0));
  }
}
