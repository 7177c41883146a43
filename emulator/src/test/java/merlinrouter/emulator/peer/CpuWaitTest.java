package merlinrouter.emulator.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the reading of a thread's wait for a CPU from the kernel's statistics. */
class CpuWaitTest {
  @Test
  void secondFieldIsTheWait() {
    assertEquals(708_069, CpuWait.waitedNanos("6705892 708069 7\n"));
  }

  @Test
  void waitOfAThreadDoesNotDecrease() {
    long before = CpuWait.ofCurrentThreadNanos();
    assertTrue(before >= 0);
    assertTrue(CpuWait.ofCurrentThreadNanos() >= before);
  }
}
