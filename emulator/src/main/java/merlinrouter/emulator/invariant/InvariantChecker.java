package merlinrouter.emulator.invariant;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import merlinrouter.emulator.request.Attempt;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;

/** Checks the requests of a run against the invariants. Thread-safe. */
public final class InvariantChecker {
  /** A response that is later than this after the client's deadline counts as missing. */
  public static final long MAX_LATE_RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final int STATUS_OK = 200;

  private static final long MAX_INCOMPLETE_REQUEST_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long MAX_ATTEMPT_AFTER_END_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_EXCESS_TIMEOUT_MILLIS = 150;

  /** Time within which a node must receive a change that a reachable discovery has published. */
  private static final long MAX_DISCOVERY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Time for which a node may still forward requests after it has received a draining state. */
  private static final long DRAIN_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  /** Time after which a drain that discovery could deliver must be in effect. */
  private static final long MAX_DRAIN_DELAY_NANOS = MAX_DISCOVERY_DELAY_NANOS + DRAIN_GRACE_NANOS;

  /** A request sent longer than this before an orderly close was received before the close. */
  private static final long MAX_TRANSFER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** A time span of one node. */
  private record Span(String nodeName, long startNanos, long endNanos) {
    boolean overlaps(RequestRecord request, long toleranceNanos) {
      return nodeName.equals(request.nodeName())
          && request.startedAtNanos() - endNanos <= toleranceNanos
          && startNanos - request.endedAtNanos() <= toleranceNanos;
    }
  }

  private final long emulatorDelayNanos;
  private final List<Span> killSpans = new CopyOnWriteArrayList<>();
  private final List<Span> idleClientSpans = new CopyOnWriteArrayList<>();

  /** Time from which discovery could deliver an endpoint's draining state, by endpoint id. */
  private final Map<String, Long> drainingPublishedAtNanos = new ConcurrentHashMap<>();

  /**
   * Creates a checker.
   *
   * @param emulatorDelayMillis allowance for delays of the emulator's own threads when they record
   *     the time of an event
   */
  public InvariantChecker(long emulatorDelayMillis) {
    emulatorDelayNanos = TimeUnit.MILLISECONDS.toNanos(emulatorDelayMillis);
  }

  /**
   * Records that an endpoint started to drain.
   *
   * @param publishedAtNanos when a reachable discovery published it
   */
  public void endpointDraining(String endpointId, long publishedAtNanos) {
    drainingPublishedAtNanos.put(endpointId, publishedAtNanos);
  }

  /**
   * Records that discovery can be reached again. Changes that it published less than 6 s before the
   * outage or during it count as published now, since nodes may not have received them.
   */
  public void discoveryRecovered(long outageStartNanos, long nowNanos) {
    drainingPublishedAtNanos.replaceAll(
        (endpointId, publishedAtNanos) ->
            publishedAtNanos + MAX_DISCOVERY_DELAY_NANOS > outageStartNanos
                ? Math.max(publishedAtNanos, nowNanos)
                : publishedAtNanos);
  }

  /**
   * Records that a node was killed by SIGKILL. Requests that overlap with the time between signal
   * and end need not get a response.
   *
   * @param killedAtNanos a time shortly before the signal was sent
   * @param endedAtNanos when the process had ended
   */
  public void nodeKilled(String nodeName, long killedAtNanos, long endedAtNanos) {
    killSpans.add(new Span(nodeName, killedAtNanos, endedAtNanos));
  }

  /**
   * Records that idle clients used up a node's file descriptors for a time, in which the node may
   * have closed new connections without reading from them.
   */
  public void idleClientsConnected(String nodeName, long startNanos, long endNanos) {
    idleClientSpans.add(new Span(nodeName, startNanos, endNanos));
  }

  private boolean overlapsAny(List<Span> spans, RequestRecord request) {
    return spans.stream().anyMatch(span -> span.overlaps(request, emulatorDelayNanos));
  }

  /** Returns the violations of a request. */
  public List<Violation> check(RequestRecord request) {
    List<Violation> violations = new ArrayList<>();
    if (!overlapsAny(killSpans, request)) {
      checkEnd(request, violations);
    }
    boolean mayHaveBeenExecuted = false;
    for (Attempt attempt : request.attempts()) {
      checkAttempt(request, attempt, violations);
      if (mayHaveBeenExecuted && request.requestClass() == RequestClass.NON_IDEMPOTENT) {
        violations.add(violation(Invariant.NON_IDEMPOTENT_NOT_RETRIED, request));
      }
      mayHaveBeenExecuted = !attempt.provesNotExecuted();
    }
    return violations;
  }

  private void checkEnd(RequestRecord request, List<Violation> violations) {
    if (request.isIncomplete()) {
      checkIncompleteRequest(request, violations);
    } else {
      checkCompleteRequest(request, violations);
    }
  }

  private void checkIncompleteRequest(RequestRecord request, List<Violation> violations) {
    boolean served = request.status() == STATUS_OK || !request.attempts().isEmpty();
    boolean notEnded = request.outcome() == ClientOutcome.NO_RESPONSE;
    if (served || notEnded) {
      violations.add(violation(Invariant.INCOMPLETE_REQUEST_ENDED, request));
      return;
    }
    checkLatency(
        Invariant.INCOMPLETE_REQUEST_ENDED, request, MAX_INCOMPLETE_REQUEST_NANOS, violations);
  }

  private void checkCompleteRequest(RequestRecord request, List<Violation> violations) {
    switch (request.outcome()) {
      case NO_RESPONSE -> violations.add(violation(Invariant.RESPONSE_IN_TIME, request));
      case RESPONDED -> checkResponse(request, violations);
      case CONNECTION_CLOSED -> {
        // A node may close an idle connection while a request that it has not read is in transit,
        // and a new connection while idle clients use up its descriptors.
        boolean mayCloseUnread =
            request.isConnectionReused() || overlapsAny(idleClientSpans, request);
        if (!mayCloseUnread || wasRead(request)) {
          violations.add(violation(Invariant.NO_CLOSE_WITHOUT_RESPONSE, request));
        }
      }
      default -> {
        // A client that disconnected or never sent its request need not get a response.
      }
    }
  }

  /** Returns whether a node had read a request before it closed the connection. */
  private boolean wasRead(RequestRecord request) {
    // The kernel sends a reset, not a FIN, for a close with received bytes that were not read.
    boolean receivedBeforeClose = latencyNanos(request) > MAX_TRANSFER_NANOS + emulatorDelayNanos;
    return !request.attempts().isEmpty() || request.endedWithOrderlyClose() && receivedBeforeClose;
  }

  private void checkResponse(RequestRecord request, List<Violation> violations) {
    long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis());
    long maxLatencyNanos = timeoutNanos + MAX_LATE_RESPONSE_NANOS;
    checkLatency(Invariant.RESPONSE_IN_TIME, request, maxLatencyNanos, violations);
    if (request.status() == STATUS_OK && !request.body().equals(request.expectedBody())) {
      violations.add(
          Violation.untimed(Invariant.OWN_RESPONSE_ONLY, request + " received " + request.body()));
    }
  }

  /** Checks the time from the sending of a request to its end for the client. */
  private void checkLatency(
      Invariant invariant, RequestRecord request, long maxNanos, List<Violation> violations) {
    long excessNanos = latencyNanos(request) - maxNanos - emulatorDelayNanos;
    if (excessNanos > 0) {
      violations.add(new Violation(invariant, request.toString(), request.nodeName(), excessNanos));
    }
  }

  private void checkAttempt(RequestRecord request, Attempt attempt, List<Violation> violations) {
    long receivedAtNanos = attempt.receivedAtNanos();
    if (request.hasEnded()) {
      long afterEndNanos = receivedAtNanos - request.endedAtNanos();
      checkReceiptTime(
          Invariant.NO_ATTEMPT_AFTER_END,
          request,
          attempt,
          afterEndNanos - MAX_ATTEMPT_AFTER_END_NANOS,
          violations);
    }
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(receivedAtNanos - request.sentAtNanos());
    long remainingMillis = request.timeoutMillis() - elapsedMillis;
    long excessMillis =
        attempt.forwardedTimeoutMillis() - remainingMillis - MAX_EXCESS_TIMEOUT_MILLIS;
    checkReceiptTime(
        Invariant.FORWARDED_TIMEOUT_WITHIN_DEADLINE,
        request,
        attempt,
        TimeUnit.MILLISECONDS.toNanos(excessMillis),
        violations);
    checkReceiptTime(
        Invariant.NOT_FORWARDED_TO_DRAINING,
        request,
        attempt,
        nanosAfterDrain(attempt) - MAX_DRAIN_DELAY_NANOS,
        violations);
  }

  /**
   * Returns how long after the drain of its endpoint an attempt was received; 0 without a drain.
   */
  private long nanosAfterDrain(Attempt attempt) {
    Long publishedAtNanos = drainingPublishedAtNanos.get(attempt.endpointId());
    return publishedAtNanos == null ? 0 : attempt.receivedAtNanos() - publishedAtNanos;
  }

  /**
   * Checks a limit on the time at which an attempt was received.
   *
   * @param excessNanos by how much the time exceeded the limit, before the allowance for the
   *     emulator's delay is subtracted
   */
  private void checkReceiptTime(
      Invariant invariant,
      RequestRecord request,
      Attempt attempt,
      long excessNanos,
      List<Violation> violations) {
    if (excessNanos > emulatorDelayNanos) {
      violations.add(
          new Violation(
              invariant,
              request.toString(),
              attempt.endpointId(),
              excessNanos - emulatorDelayNanos));
    }
  }

  /** Returns how late drains took effect for some requests. */
  public DrainDelay drainDelay(Iterable<RequestRecord> requests) {
    long maxDelayNanos = 0;
    String endpointId = "";
    for (RequestRecord request : requests) {
      for (Attempt attempt : request.attempts()) {
        long delayNanos = nanosAfterDrain(attempt);
        if (delayNanos > maxDelayNanos) {
          maxDelayNanos = delayNanos;
          endpointId = attempt.endpointId();
        }
      }
    }
    return new DrainDelay(
        drainingPublishedAtNanos.size(), maxDelayNanos, endpointId, MAX_DRAIN_DELAY_NANOS);
  }

  private static long latencyNanos(RequestRecord request) {
    return request.endedAtNanos() - request.sentAtNanos();
  }

  private static Violation violation(Invariant invariant, RequestRecord request) {
    return Violation.untimed(invariant, request.toString());
  }
}
