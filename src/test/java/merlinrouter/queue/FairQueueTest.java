package merlinrouter.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import merlinrouter.settings.TestSettings;
import merlinrouter.stats.ClassStatistics;
import org.junit.jupiter.api.Test;

/** The order in which the requests of several classes are released. */
class FairQueueTest {
  private final FairQueue<TestRequest> fairQueue =
      new FairQueue<>(
          TestSettings.requestClasses().subList(0, 2).stream().map(ClassStatistics::new).toList());
  private final ClassQueue<TestRequest> first = fairQueue.queues().get(0);
  private final ClassQueue<TestRequest> second = fairQueue.queues().get(1);

  private static void enqueue(ClassQueue<TestRequest> queue, int count, double virtualTime) {
    for (int i = 0; i < count; i++) {
      queue.add(TestRequest.arrivedAt(virtualTime, "r" + i));
    }
  }

  private void release(int count) {
    for (int i = 0; i < count; i++) {
      ClassQueue<TestRequest> next = fairQueue.next();
      fairQueue.release(next, next.firstStartable());
    }
  }

  @Test
  void classesAreReleasedInProportionToTheirShares() {
    fairQueue.setShares(new double[] {0.25, 0.75});
    enqueue(first, 20, 0);
    enqueue(second, 20, 0);
    release(16);
    assertEquals(4, 20 - first.size(), 1);
    assertEquals(12, 20 - second.size(), 1);
  }

  @Test
  void anIdleClassAccumulatesNoCredit() {
    fairQueue.setShares(new double[] {0.5, 0.5});
    enqueue(second, 30, 0);
    release(10);
    enqueue(first, 20, fairQueue.virtualTime());
    release(10);
    assertEquals(5, 20 - first.size(), 1);
  }

  @Test
  void requestsThatMayNotStartAreSkipped() {
    fairQueue.setShares(new double[] {0.5, 0.5});
    first.add(new TestRequest("blocked", false, 0, 1));
    assertNull(fairQueue.next());
    TestRequest startable = TestRequest.arrivedAt(0, "startable");
    first.add(startable);
    assertSame(first, fairQueue.next());
    assertEquals(startable, first.firstStartable());
    fairQueue.release(first, startable);
    assertEquals(List.of("blocked"), first.snapshot().stream().map(TestRequest::id).toList());
  }
}
