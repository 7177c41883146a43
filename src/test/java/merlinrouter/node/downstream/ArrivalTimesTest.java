package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the recorded arrival times of undecoded bytes. */
class ArrivalTimesTest {
  private static final long MS = 1_000_000L;

  private final ArrivalTimes times = new ArrivalTimes();

  @Test
  void eachRequestHasTheArrivalTimeOfItsFirstByte() {
    times.add(10, 0);
    times.add(20, 50 * MS);
    times.add(5, 100 * MS);
    assertEquals(0, arrivalOfNextByteWithUndecoded(35));
    assertEquals(0, arrivalOfNextByteWithUndecoded(30), "within the first read");
    assertEquals(50 * MS, arrivalOfNextByteWithUndecoded(25), "exactly at the first read's end");
    assertEquals(50 * MS, arrivalOfNextByteWithUndecoded(15), "within the second read");
    assertEquals(100 * MS, arrivalOfNextByteWithUndecoded(5), "exactly at the second read's end");
  }

  @Test
  void bytesAfterDecodedOnesHaveTheirOwnArrivalTime() {
    times.add(10, 0);
    times.removeDecoded(0);
    times.add(10, 50 * MS);
    assertEquals(50 * MS, arrivalOfNextByteWithUndecoded(10));
  }

  @Test
  void readsLessThan10MsAfterARecordedOneTakeItsArrivalTime() {
    times.add(10, 0);
    times.add(10, 9 * MS);
    times.add(10, 10 * MS);
    assertEquals(0, arrivalOfNextByteWithUndecoded(20));
    assertEquals(0, arrivalOfNextByteWithUndecoded(11));
    assertEquals(10 * MS, arrivalOfNextByteWithUndecoded(10));
  }

  @Test
  void readsBeyondTheMaximumAreMergedIntoTheLast() {
    for (int i = 0; i < 100; i++) {
      times.add(1, i * 20 * MS);
    }
    assertEquals(62 * 20 * MS, arrivalOfNextByteWithUndecoded(38));
    assertEquals(63 * 20 * MS, arrivalOfNextByteWithUndecoded(37));
    assertEquals(63 * 20 * MS, arrivalOfNextByteWithUndecoded(1));
  }

  /** Decodes all but the given number of bytes; returns the arrival time of the next byte. */
  private long arrivalOfNextByteWithUndecoded(int undecodedBytes) {
    times.removeDecoded(undecodedBytes);
    return times.nextByteArrivedNanos();
  }
}
