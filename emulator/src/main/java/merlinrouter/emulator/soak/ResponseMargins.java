package merlinrouter.emulator.soak;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import merlinrouter.emulator.invariant.InvariantChecker;
import merlinrouter.emulator.request.ClientOutcome;
import merlinrouter.emulator.request.RequestRecord;

/** How much of the clients' time was left when complete responses had come. Immutable. */
final class ResponseMargins {
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /**
   * A complete response and the client's time.
   *
   * @param request the request
   * @param sentMillis when it was sent, from the run's start
   * @param marginNanos from the response's last byte to the client's deadline; negative after it
   * @param emulatorLateNanos how late the emulator's clients of that node were meanwhile, at most
   */
  record Response(
      RequestRecord request, long sentMillis, long marginNanos, long emulatorLateNanos) {
    /** Whether it came after the client's deadline. */
    boolean isOverdue() {
      return marginNanos < 0;
    }

    /** Whether it came so late that it counts as none. */
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
   * The margins of the requests that were sent whole and got a response.
   *
   * @param millisSinceStart converts a moment of {@link System#nanoTime}
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
        lateness.of(request.nodeName()).longestNanos(sentAtNanos, endedAtNanos));
  }

  /** How many responses there were. */
  int count() {
    return byMargin.size();
  }

  /** The margin that a part of the responses did not exceed, by nearest rank; 0 without any. */
  long quantileNanos(double fraction) {
    if (byMargin.isEmpty()) {
      return 0;
    }
    int rank = (int) Math.ceil(fraction * byMargin.size());
    return byMargin.get(Math.max(1, rank) - 1).marginNanos();
  }

  /** The responses after the client's deadline, the latest first. */
  List<Response> overdue() {
    return byMargin.stream().takeWhile(Response::isOverdue).toList();
  }

  /** How many responses came so late that they count as none. */
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
