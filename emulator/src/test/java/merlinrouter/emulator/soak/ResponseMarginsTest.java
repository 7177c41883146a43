package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import merlinrouter.emulator.request.RequestRegistry;
import merlinrouter.emulator.soak.ResponseMargins.Response;
import org.junit.jupiter.api.Test;

/** Tests the margins between responses and their clients' deadlines. */
class ResponseMarginsTest {
  private static final String NODE = "n0";
  private static final long TIMEOUT_MILLIS = 1_000;

  private final RequestRegistry requests = new RequestRegistry();
  private final LatenessMonitor lateness = new LatenessMonitor();

  private RequestRecord request() {
    RequestRecord request = requests.register(NODE, RequestClass.IDEMPOTENT, TIMEOUT_MILLIS);
    request.markSent();
    return request;
  }

  private Response response(long marginMillis) {
    return new Response(request(), 0, TimeUnit.MILLISECONDS.toNanos(marginMillis), 0);
  }

  private ResponseMargins margins(LongStream marginsMillis) {
    return new ResponseMargins(marginsMillis.mapToObj(this::response).toList());
  }

  @Test
  void quantilesAreMarginsOfResponses() {
    ResponseMargins margins = margins(LongStream.rangeClosed(1, 1_000).map(i -> 1_001 - i));
    assertEquals(TimeUnit.MILLISECONDS.toNanos(1), margins.quantileNanos(0));
    assertEquals(TimeUnit.MILLISECONDS.toNanos(1), margins.quantileNanos(0.001));
    assertEquals(TimeUnit.MILLISECONDS.toNanos(10), margins.quantileNanos(0.01));
    assertEquals(TimeUnit.MILLISECONDS.toNanos(500), margins.quantileNanos(0.5));
    assertEquals(0, margins(LongStream.empty()).quantileNanos(0.5));
  }

  @Test
  void aResponseIsOverdueAfterTheDeadlineAndLostHalfASecondLater() {
    ResponseMargins margins = margins(LongStream.of(0, -500, 700, -501, -1));
    assertEquals(
        List.of(-501L, -500L, -1L),
        margins.overdue().stream()
            .map(response -> TimeUnit.NANOSECONDS.toMillis(response.marginNanos()))
            .toList());
    assertEquals(1, margins.lostCount());
    assertTrue(margins.overdue().get(0).isLost());
    assertFalse(margins.overdue().get(1).isLost());
  }

  @Test
  void theMarginIsTheTimeFromTheResponseToTheDeadline() {
    RequestRecord request = request();
    request.endWithResponse(200, request.expectedBody());
    lateness.lateSpans(NODE).add(request.sentAtNanos() - 1, request.endedAtNanos() + 1);
    long latencyNanos = request.endedAtNanos() - request.sentAtNanos();
    ResponseMargins margins = ResponseMargins.of(requests.requests(), lateness, nanos -> nanos);
    assertEquals(
        TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS) - latencyNanos, margins.quantileNanos(0));
  }

  @Test
  void theTextOfAResponseNamesItsRequestAndTheLatenessOfTheEmulator() {
    RequestRecord request = request();
    request.setClientCpuWaitNanos(TimeUnit.MILLISECONDS.toNanos(20));
    Response response =
        new Response(
            request, 77, TimeUnit.MILLISECONDS.toNanos(-501), TimeUnit.MILLISECONDS.toNanos(30));
    String text = response.toString();
    assertTrue(
        text.startsWith(
            "-501 ms left, sent at 77 ms, the emulator's clients late by 30 ms (this one waited"
                + " 20 ms for a CPU): r00000001 n0"),
        text);
  }

  @Test
  void onlyCompleteRequestsWithAResponseHaveAMargin() {
    request().end(ClientOutcome.NO_RESPONSE);
    request().end(ClientOutcome.CLIENT_DISCONNECTED);
    RequestRecord incomplete = request();
    incomplete.markIncomplete();
    incomplete.endWithResponse(400, "");
    assertEquals(0, ResponseMargins.of(requests.requests(), lateness, nanos -> nanos).count());
  }
}
