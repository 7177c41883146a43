package merlinrouter.node.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import merlinrouter.model.ClientRequest;
import merlinrouter.model.Outcome;
import merlinrouter.settings.RequestClass;
import merlinrouter.settings.TestSettings;
import merlinrouter.time.Nanos;
import org.junit.jupiter.api.Test;

/** Tests which requests are remembered after their end, and how many. */
class ReplayCacheTest {
  private static final long FIRST_EXECUTION_NANOS = 5 * Nanos.PER_SECOND;

  private final ReplayCache cache = new ReplayCache();

  private static OpenRequest request(String id, int classIndex, long deadlineNanos) {
    ClientRequest attributes =
        new ClientRequest(id, classIndex, 0, 7, deadlineNanos, 1, 1, 0, false);
    return new OpenRequest(
        attributes,
        HttpMethod.POST,
        "/api",
        null,
        Unpooled.EMPTY_BUFFER,
        null,
        new RequestTimeline(0, 1));
  }

  private void recordEnded(String id, int classIndex, Outcome outcome) {
    OpenRequest request = request(id, classIndex, 1);
    request.startAttempt();
    request.endAttempt(outcome, FIRST_EXECUTION_NANOS);
    RequestClass requestClass = TestSettings.requestClasses().get(classIndex);
    cache.recordEnded(request, requestClass);
  }

  private boolean forbids(String id, int classIndex, long deadlineNanos) {
    return cache.forbids(request(id, classIndex, deadlineNanos));
  }

  @Test
  void nonIdempotentRequestsAreForbiddenUnlessTheyWereNotExecuted() {
    for (Outcome outcome : Outcome.values()) {
      recordEnded("r-" + outcome, TestSettings.NON_IDEMPOTENT, outcome);
      assertEquals(
          !outcome.provesNotExecuted(),
          forbids("r-" + outcome, TestSettings.NON_IDEMPOTENT, FIRST_EXECUTION_NANOS),
          outcome.name());
    }
  }

  @Test
  void requestsWithAKeyAreForbiddenUnlessEachAttemptWouldBeDropped() {
    long windowNanos =
        TestSettings.requestClasses().get(TestSettings.KEY_EVERYWHERE).deduplicationWindowNanos();
    long windowEndNanos = FIRST_EXECUTION_NANOS + windowNanos;
    recordEnded("r-1", TestSettings.KEY_EVERYWHERE, Outcome.RESET);
    recordEnded("r-2", TestSettings.KEY_IN_CELL, Outcome.RESET);
    assertFalse(forbids("r-1", TestSettings.KEY_EVERYWHERE, windowEndNanos - 1));
    assertTrue(forbids("r-1", TestSettings.KEY_EVERYWHERE, windowEndNanos));
    assertTrue(forbids("r-2", TestSettings.KEY_IN_CELL, FIRST_EXECUTION_NANOS + 1));
  }

  @Test
  void idempotentRequestsAreNotForbidden() {
    recordEnded("r-1", TestSettings.IDEMPOTENT, Outcome.RESET);
    assertFalse(forbids("r-1", TestSettings.IDEMPOTENT, Long.MAX_VALUE));
  }

  /** Guards against memory that grows with the number of requests. */
  @Test
  void theOldestIdIsForgottenAtTheLimit() {
    for (int i = 0; i <= ReplayCache.MAX_IDS; i++) {
      recordEnded("r-" + i, TestSettings.NON_IDEMPOTENT, Outcome.OK);
    }
    assertFalse(forbids("r-0", TestSettings.NON_IDEMPOTENT, 1));
    assertTrue(forbids("r-1", TestSettings.NON_IDEMPOTENT, 1));
    assertTrue(forbids("r-" + ReplayCache.MAX_IDS, TestSettings.NON_IDEMPOTENT, 1));
  }
}
