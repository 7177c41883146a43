package merlinrouter.emulator.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.request.Attempt;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import merlinrouter.emulator.request.RequestRegistry;
import org.junit.jupiter.api.Test;

/** Tests that each violation of an invariant is reported, and nothing else. */
class InvariantCheckerTest {
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final String ENDPOINT_ID = "s-0";

  /** Longer than the time that the checker allows for the transfer of a request, 100 ms. */
  private static final long ORDERLY_CLOSE_DELAY_MILLIS = 150;

  private final RequestRegistry requests = new RequestRegistry();
  private final InvariantChecker checker = new InvariantChecker(0);

  private RequestRecord sentRequest(RequestClass requestClass) {
    RequestRecord request = requests.register("n0", requestClass, TIMEOUT_MILLIS);
    request.markSent();
    return request;
  }

  private RequestRecord servedRequest(RequestClass requestClass) {
    RequestRecord request = sentRequest(requestClass);
    request.endWithResponse(200, request.expectedBody());
    return request;
  }

  private void addAttempt(
      RequestRecord request, long afterMillis, long timeoutMillis, boolean provesNotExecuted) {
    long receivedAtNanos = request.sentAtNanos() + TimeUnit.MILLISECONDS.toNanos(afterMillis);
    requests.addAttempt(
        request.id(), new Attempt(ENDPOINT_ID, receivedAtNanos, timeoutMillis, provesNotExecuted));
  }

  private void assertViolates(RequestRecord request, Invariant... violated) {
    List<Invariant> found = checker.check(request).stream().map(Violation::invariant).toList();
    assertEquals(List.of(violated), found, request.toString());
  }

  @Test
  void servedRequestViolatesNothing() {
    RequestRecord request = servedRequest(RequestClass.NON_IDEMPOTENT);
    addAttempt(request, 10, TIMEOUT_MILLIS - 10, false);
    assertViolates(request);
  }

  @Test
  void abandonedAndUnsentRequestsViolateNothing() {
    RequestRecord abandoned = sentRequest(RequestClass.IDEMPOTENT);
    abandoned.end(ClientOutcome.CLIENT_DISCONNECTED);
    assertViolates(abandoned);
    RequestRecord unsent = sentRequest(RequestClass.IDEMPOTENT);
    unsent.end(ClientOutcome.NOT_CONNECTED);
    assertViolates(unsent);
  }

  @Test
  void missingResponseIsReported() {
    RequestRecord request = sentRequest(RequestClass.IDEMPOTENT);
    request.end(ClientOutcome.NO_RESPONSE);
    assertViolates(request, Invariant.RESPONSE_IN_TIME);
  }

  @Test
  void closeWithoutResponseIsReportedUnlessItMayRaceWithTheRequest() {
    RequestRecord onNewConnection = sentRequest(RequestClass.IDEMPOTENT);
    onNewConnection.end(ClientOutcome.CONNECTION_CLOSED);
    assertViolates(onNewConnection, Invariant.NO_CLOSE_WITHOUT_RESPONSE);

    RequestRecord onIdleConnection = sentRequest(RequestClass.IDEMPOTENT);
    onIdleConnection.setConnectionReused(true);
    onIdleConnection.end(ClientOutcome.CONNECTION_CLOSED);
    assertViolates(onIdleConnection);

    addAttempt(onIdleConnection, 0, TIMEOUT_MILLIS, false);
    assertViolates(onIdleConnection, Invariant.NO_CLOSE_WITHOUT_RESPONSE);
  }

  @Test
  void incompleteRequestMustEndAndMustNotBeForwarded() {
    RequestRecord closed = sentRequest(RequestClass.IDEMPOTENT);
    closed.markIncomplete();
    closed.end(ClientOutcome.CONNECTION_CLOSED);
    assertViolates(closed);

    addAttempt(closed, 0, TIMEOUT_MILLIS, false);
    assertViolates(closed, Invariant.INCOMPLETE_REQUEST_ENDED);

    RequestRecord ignored = sentRequest(RequestClass.IDEMPOTENT);
    ignored.markIncomplete();
    ignored.end(ClientOutcome.NO_RESPONSE);
    assertViolates(ignored, Invariant.INCOMPLETE_REQUEST_ENDED);
  }

  @Test
  void responseOfAnotherRequestIsReported() {
    RequestRecord request = sentRequest(RequestClass.IDEMPOTENT);
    request.endWithResponse(200, RequestRecord.expectedBody("another"));
    assertViolates(request, Invariant.OWN_RESPONSE_ONLY);
  }

  @Test
  void attemptAfterTheEndIsReported() {
    RequestRecord request = servedRequest(RequestClass.IDEMPOTENT);
    addAttempt(request, 900, 100, false);
    assertViolates(request, Invariant.NO_ATTEMPT_AFTER_END);
  }

  @Test
  void forwardedTimeoutLongerThanTheRemainingTimeIsReported() {
    RequestRecord request = sentRequest(RequestClass.IDEMPOTENT);
    // 500 ms remain, and the checker tolerates an excess of 150 ms.
    addAttempt(request, 500, 650, false);
    assertViolates(request);
    addAttempt(request, 500, 651, false);
    assertViolates(request, Invariant.FORWARDED_TIMEOUT_WITHIN_DEADLINE);
  }

  @Test
  void retryOfNonIdempotentRequestIsReportedUnlessItWasNotExecuted() {
    RequestRecord rejectedFirst = servedRequest(RequestClass.NON_IDEMPOTENT);
    addAttempt(rejectedFirst, 0, TIMEOUT_MILLIS, true);
    addAttempt(rejectedFirst, 0, TIMEOUT_MILLIS, false);
    assertViolates(rejectedFirst);

    addAttempt(rejectedFirst, 0, TIMEOUT_MILLIS, false);
    assertViolates(rejectedFirst, Invariant.NON_IDEMPOTENT_NOT_RETRIED);

    RequestRecord idempotent = servedRequest(RequestClass.IDEMPOTENT);
    addAttempt(idempotent, 0, TIMEOUT_MILLIS, false);
    addAttempt(idempotent, 0, TIMEOUT_MILLIS, false);
    assertViolates(idempotent);
  }

  @Test
  void attemptAtDrainingEndpointIsReportedAfterTheGracePeriod() {
    RequestRecord request = servedRequest(RequestClass.IDEMPOTENT);
    addAttempt(request, 0, TIMEOUT_MILLIS, false);
    // The grace period is 7.05 s: 6 s for the delivery of the update and 1.05 s after it.
    checker.endpointDraining(ENDPOINT_ID, secondsBefore(request, 7));
    assertViolates(request);
    checker.endpointDraining(ENDPOINT_ID, secondsBefore(request, 8));
    assertViolates(request, Invariant.NOT_FORWARDED_TO_DRAINING);
  }

  @Test
  void drainingPublishedShortlyBeforeAnOutageCountsFromItsEnd() {
    RequestRecord request = servedRequest(RequestClass.IDEMPOTENT);
    addAttempt(request, 0, TIMEOUT_MILLIS, false);
    // An update published 20 s before the request is delivered within 6 s, 14 s before the request,
    // unless an outage starts by then.
    checker.endpointDraining(ENDPOINT_ID, secondsBefore(request, 20));
    checker.discoveryRecovered(secondsBefore(request, 13), secondsBefore(request, 5));
    assertViolates(request, Invariant.NOT_FORWARDED_TO_DRAINING);

    checker.endpointDraining(ENDPOINT_ID, secondsBefore(request, 20));
    checker.discoveryRecovered(secondsBefore(request, 15), secondsBefore(request, 5));
    assertViolates(request);
  }

  @Test
  void theDrainDelayIsThatOfTheLatestAttemptAtADrainingEndpoint() {
    RequestRecord request = servedRequest(RequestClass.IDEMPOTENT);
    addAttempt(request, 0, TIMEOUT_MILLIS, false);
    assertEquals(0, checker.drainDelay(List.of(request)).maxDelayNanos());
    checker.endpointDraining(ENDPOINT_ID, secondsBefore(request, 3));
    checker.endpointDraining("unused", secondsBefore(request, 9));
    DrainDelay delay = checker.drainDelay(List.of(request));
    assertEquals(2, delay.drains());
    assertEquals(ENDPOINT_ID, delay.endpointId());
    assertEquals(TimeUnit.SECONDS.toNanos(3), delay.maxDelayNanos());
  }

  private static long secondsBefore(RequestRecord request, long seconds) {
    return request.sentAtNanos() - TimeUnit.SECONDS.toNanos(seconds);
  }

  private RequestRecord closedRequest(boolean connectionReused) {
    RequestRecord request = requests.register("n0", RequestClass.IDEMPOTENT, TIMEOUT_MILLIS);
    request.setConnectionReused(connectionReused);
    request.markStarted();
    request.markSent();
    request.end(ClientOutcome.CONNECTION_CLOSED);
    return request;
  }

  @Test
  void orderlyCloseLongAfterTheRequestWasSentShowsThatItWasRead() throws InterruptedException {
    RequestRecord request = requests.register("n0", RequestClass.IDEMPOTENT, TIMEOUT_MILLIS);
    request.setConnectionReused(true);
    request.markSent();
    Thread.sleep(ORDERLY_CLOSE_DELAY_MILLIS);
    request.endWithOrderlyClose();
    assertViolates(request, Invariant.NO_CLOSE_WITHOUT_RESPONSE);
  }

  @Test
  void requestsDuringAKillOfTheirNodeNeedNoResponse() {
    long killedAtNanos = System.nanoTime();
    RequestRecord during = closedRequest(false);
    RequestRecord unanswered = sentRequest(RequestClass.IDEMPOTENT);
    unanswered.markStarted();
    unanswered.end(ClientOutcome.NO_RESPONSE);
    checker.nodeKilled("n0", killedAtNanos, System.nanoTime());
    assertViolates(during);
    assertViolates(unanswered);
    assertViolates(closedRequest(false), Invariant.NO_CLOSE_WITHOUT_RESPONSE);
  }

  @Test
  void attemptsAreCheckedAlthoughTheNodeWasKilled() {
    long killedAtNanos = System.nanoTime();
    RequestRecord request = sentRequest(RequestClass.NON_IDEMPOTENT);
    request.markStarted();
    request.end(ClientOutcome.CONNECTION_CLOSED);
    addAttempt(request, 1, TIMEOUT_MILLIS - 1, false);
    addAttempt(request, 2, TIMEOUT_MILLIS - 2, false);
    checker.nodeKilled("n0", killedAtNanos, System.nanoTime());
    assertViolates(request, Invariant.NON_IDEMPOTENT_NOT_RETRIED);
  }

  @Test
  void newConnectionMayBeClosedUnreadOnlyWhileIdleClientsUseUpTheDescriptors() {
    long idleClientsStartNanos = System.nanoTime();
    RequestRecord unread = closedRequest(false);
    RequestRecord forwarded = closedRequest(false);
    addAttempt(forwarded, 1, TIMEOUT_MILLIS - 1, false);
    checker.idleClientsConnected("n0", idleClientsStartNanos, System.nanoTime());
    assertViolates(unread);
    assertViolates(forwarded, Invariant.NO_CLOSE_WITHOUT_RESPONSE);
    assertViolates(closedRequest(false), Invariant.NO_CLOSE_WITHOUT_RESPONSE);
  }
}
