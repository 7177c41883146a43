package merlinrouter.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import merlinrouter.control.ConcurrencyController;
import merlinrouter.control.ConcurrencyLimiter;
import merlinrouter.settings.TestSettings;
import merlinrouter.stats.ClassStatistics;
import merlinrouter.time.EventClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Load shedding from one queue. At a concurrency level of 1 and a mean service time of 1/8 s, 8
 * requests per second are released. An objective of 1 s less two service times leaves a maximum
 * wait of 0.75 s, which is the wait for 6 requests.
 */
class LoadShedderTest {
  private final List<ClassStatistics> classes =
      List.of(new ClassStatistics(TestSettings.requestClasses().get(TestSettings.IDEMPOTENT)));
  private final FairQueue<TestRequest> fairQueue = new FairQueue<>(classes);
  private final ClassQueue<TestRequest> queue = fairQueue.queues().get(0);
  private final ConcurrencyController controller = new ConcurrencyController(classes, 1);
  private final ConcurrencyLimiter limiter = new ConcurrencyLimiter(controller, new EventClock(0));
  private final LoadShedder<TestRequest> shedder =
      new LoadShedder<>(fairQueue, controller, limiter);

  @BeforeEach
  void enqueueOneRequestTooMany() {
    fairQueue.setShares(new double[] {1});
    for (int i = 0; i < 7; i++) {
      queue.add(new TestRequest("r" + i, true, 0, i == 2 || i == 4 ? 1 : 3));
    }
  }

  @Test
  void theLatestOfTheLeastValuableRequestsIsShed() {
    limiter.acquire();
    assertEquals("r4", shedder.pollExcess(queue).id());
    assertNull(shedder.pollExcess(queue), "six requests are served in time");
    assertEquals(6, queue.size());
  }

  @Test
  void nothingIsShedWhileAttemptsMayStart() {
    assertNull(shedder.pollExcess(queue));
  }
}
