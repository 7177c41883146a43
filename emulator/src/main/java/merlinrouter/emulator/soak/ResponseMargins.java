package merlinrouter.emulator.soak;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestRecord;

/** The times from complete responses to their clients' deadlines. Immutable. */
final class ResponseMargins {
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * A complete response and its margin.
   *
   * @param request the request
   * @param sentMillis when the request was sent, in milliseconds since the run's start
   * @param marginNanos the time from the response's last byte to the client's deadline; negative
   *     after the deadline
   * @param emulatorLateNanos the greatest lateness of the emulator's clients of that node from the
   *     sending of the request to the response
   */
  record Response(
      RequestRecord request, long sentMillis, long marginNanos, long emulatorLateNanos) {
    /** Returns whether it was received after the client's deadline. */
    boolean isOverdue() {
      return marginNanos < 0;
    }

    /** Returns whether it was received so late that it counts as missing. */
    boolean isLost() {
      return -marginNanos > InvariantChecker.MAX_LATE_RESPONSE_NANOS;
    }

    @Override
    public String toString() {
      return String.format(
          "%d ms left, sent at %d ms, the emulator's clients late by %d ms (this one"
              + " waited %d ms for a CPU): %s",
          Math.floorDiv(marginNanos, NANOS_PER_MILLI),
          sentMillis,
          emulatorLateNanos / NANOS_PER_MILLI,
          request.clientCpuWaitNanos() / NANOS_PER_MILLI,
          request);
    }
  }

  private final List<Response> byMargin;

  /** Creates the margins of responses in any order. */
  ResponseMargins(List<Response> responses) {
    byMargin = responses.stream().sorted(Comparator.comparingLong(Response::marginNanos)).toList();
  }

  /**
   * Returns the margins of the requests that were sent completely and got a response.
   *
   * @param millisSinceStart converts {@link System#nanoTime} to milliseconds since the run's start
   */
  static ResponseMargins of(
      List<RequestRecord> requests, LatenessMonitor lateness, LongUnaryOperator millisSinceStart) {
    return new ResponseMargins(
        requests.stream()
            .filter(request -> request.outcome() == ClientOutcome.RESPONDED)
            .filter(request -> !request.isIncomplete())
            .map(
                request ->
                    response(
                        request, lateness, millisSinceStart.applyAsLong(request.sentAtNanos())))
            .toList());
  }

  private static Response response(
      RequestRecord request, LatenessMonitor lateness, long sentMillis) {
    long sentAtNanos = request.sentAtNanos();
    long endedAtNanos = request.endedAtNanos();
    long deadlineNanos = sentAtNanos + TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis());
    return new Response(
        request,
        sentMillis,
        deadlineNanos - endedAtNanos,
        lateness.lateSpans(request.nodeName()).longestNanos(sentAtNanos, endedAtNanos));
  }

  /** Returns the number of responses. */
  int count() {
    return byMargin.size();
  }

  /** Returns the quantile of the margins by the nearest-rank method, or 0 without responses. */
  long quantileNanos(double fraction) {
    if (byMargin.isEmpty()) {
      return 0;
    }
    int rank = (int) Math.ceil(fraction * byMargin.size());
    return byMargin.get(Math.max(1, rank) - 1).marginNanos();
  }

  /** Returns the responses after their clients' deadlines, the one with the least margin first. */
  List<Response> overdue() {
    return byMargin.stream().takeWhile(Response::isOverdue).toList();
  }

  /** Returns the number of responses that were received so late that they count as missing. */
  long lostCount() {
    return byMargin.stream().takeWhile(Response::isLost).count();
  }

  @Override
  public String toString() {
    return String.format(
        "%d responses; time left at least %d ms, 0.1 %% quantile %d ms, 1 %% %d ms, 50 %% %d ms;"
            + " %d overdue, %d of them lost",
        count(),
        quantileMillis(0),
        quantileMillis(0.001),
        quantileMillis(0.01),
        quantileMillis(0.5),
        overdue().size(),
        lostCount());
  }

  private long quantileMillis(double fraction) {
    return Math.floorDiv(quantileNanos(fraction), NANOS_PER_MILLI);
  }
}
