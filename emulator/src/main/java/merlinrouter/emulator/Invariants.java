package merlinrouter.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Judges the requests of a run by what clients and servers saw of them. */
final class Invariants {
  /** The rules, each with what breaks it. */
  enum Rule {
    /** A request that was read got no whole answer in its time and half a second. */
    ANSWERED_IN_TIME,
    /** A connection was closed over a request that had been taken. */
    NOT_CLOSED_UNANSWERED,
    /**
     * A client that stopped in the middle of its request got neither an error nor a close in 3 s.
     */
    BAD_CLIENT_ENDED,
    /** A client got what no server had made for its request. */
    OWN_ANSWER_ONLY,
    /** An attempt began more than 0.1 s after its client had left or been answered. */
    NO_ATTEMPT_AFTER_END,
    /** A server was told more time than the client had left. */
    DEADLINE_TOLD,
    /** An unsafe request was sent again after an attempt that may have run. */
    UNSAFE_NOT_REPEATED,
    /** A server got a request after the grace of its drain. */
    NOT_SENT_TO_DRAINING
  }

  /** A broken rule. */
  record Violation(Rule rule, String what) {
    @Override
    public String toString() {
      return rule + ": " + what;
    }
  }

  private static final long LATE_NANOS = millis(500);
  private static final long BAD_CLIENT_NANOS = millis(3_000);
  private static final long AFTER_END_NANOS = millis(100);
  private static final long DEADLINE_SLACK_MILLIS = 150;

  /**
   * A change counts as told so long after discovery had it and could be reached; then comes the
   * grace.
   */
  private static final long TOLD_NANOS = millis(6_000);

  private static final long DRAIN_GRACE_NANOS = millis(1_050);

  /** What the emulator's own threads may be late by when they take the time of an event. */
  private final long ownDelayNanos;

  private final Map<String, Long> mustBeToldFrom = new ConcurrentHashMap<>();

  /** {@code ownDelayMillis} is how late the emulator may note an event on a busy machine. */
  Invariants(long ownDelayMillis) {
    ownDelayNanos = millis(ownDelayMillis);
  }

  /** A server began to drain or left the list, and discovery can be reached from this moment on. */
  void draining(String server, long reachableFrom) {
    mustBeToldFrom.put(server, reachableFrom);
  }

  /** Discovery was down until now: what it could not tell before counts from here. */
  void discoveryBack(long now, long downSince) {
    mustBeToldFrom.replaceAll(
        (server, from) -> from + TOLD_NANOS > downSince ? Math.max(from, now) : from);
  }

  /** The rules that a request broke. */
  List<Violation> judge(RequestRecord request) {
    List<Violation> broken = new ArrayList<>();
    judgeEnd(request, broken);
    List<RequestRecord.Attempt> attempts = request.attempts();
    for (int i = 0; i < attempts.size(); i++) {
      judgeAttempt(request, attempts.get(i), broken);
      boolean repeated = i > 0 && !attempts.get(i - 1).provedNotRun;
      if (repeated && request.requestClass == RequestClass.TRANSFER) {
        broken.add(new Violation(Rule.UNSAFE_NOT_REPEATED, request.toString()));
      }
    }
    return broken;
  }

  private void judgeEnd(RequestRecord request, List<Violation> broken) {
    long took = request.endedAt - request.sentAt;
    if (request.half) {
      boolean served = request.status == 200 || !request.attempts().isEmpty();
      if (served
          || request.end == RequestRecord.End.NO_ANSWER
          || took > BAD_CLIENT_NANOS + ownDelayNanos) {
        broken.add(new Violation(Rule.BAD_CLIENT_ENDED, request.toString()));
      }
      return;
    }
    switch (request.end) {
      case NO_ANSWER -> broken.add(new Violation(Rule.ANSWERED_IN_TIME, request.toString()));
      case ANSWERED -> {
        if (took > millis(request.waitMillis) + LATE_NANOS + ownDelayNanos) {
          broken.add(new Violation(Rule.ANSWERED_IN_TIME, request.toString()));
        }
        if (request.status == 200 && !request.body.equals(MatchServer.bodyFor(request.id))) {
          broken.add(new Violation(Rule.OWN_ANSWER_ONLY, request + " got " + request.body));
        }
      }
      case CLOSED_BY_NODE -> {
        // The close of a resting connection may cross a request that the node has not read.
        boolean crossed = request.reusedConnection && request.attempts().isEmpty();
        if (!crossed) {
          broken.add(new Violation(Rule.NOT_CLOSED_UNANSWERED, request.toString()));
        }
      }
      default -> {}
    }
  }

  private void judgeAttempt(
      RequestRecord request, RequestRecord.Attempt attempt, List<Violation> broken) {
    boolean ended = request.end != RequestRecord.End.NONE;
    if (ended && attempt.arrivedAt - request.endedAt > AFTER_END_NANOS + ownDelayNanos) {
      broken.add(new Violation(Rule.NO_ATTEMPT_AFTER_END, request.toString()));
    }
    long left =
        request.waitMillis - TimeUnit.NANOSECONDS.toMillis(attempt.arrivedAt - request.sentAt);
    long slack = DEADLINE_SLACK_MILLIS + TimeUnit.NANOSECONDS.toMillis(ownDelayNanos);
    if (attempt.expiresInMillis > left + slack) {
      broken.add(new Violation(Rule.DEADLINE_TOLD, request.toString()));
    }
    Long toldFrom = mustBeToldFrom.get(attempt.server);
    if (toldFrom != null
        && attempt.arrivedAt - toldFrom > TOLD_NANOS + DRAIN_GRACE_NANOS + ownDelayNanos) {
      broken.add(new Violation(Rule.NOT_SENT_TO_DRAINING, request.toString()));
    }
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
