package merlinrouter.node.monitoring;

import java.util.ArrayList;
import java.util.List;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.request.RequestTimeline;
import merlinrouter.time.Nanos;

/**
 * Records how much time was left until the clients' own deadlines when their final responses were
 * written, and logs the responses that were late. Used on the event loop only; times are of {@link
 * System#nanoTime}.
 */
public final class ResponseTimes {
  /** A response that was written after its client's deadline. */
  private record LateResponse(String requestId, RequestTimeline timeline) {}

  private final NodeLog log;
  private final List<LateResponse> lateResponses = new ArrayList<>();
  private long responses;
  private long leastLeftNanos = Long.MAX_VALUE;

  ResponseTimes(NodeLog log) {
    this.log = log;
  }

  /** Records a final response, whose time of writing is already in the request's timeline. */
  public void recordResponse(String requestId, RequestTimeline timeline) {
    long leftNanos = timeline.clientDeadlineNanos() - timeline.respondedAtNanos();
    responses++;
    leastLeftNanos = Math.min(leastLeftNanos, leftNanos);
    if (leftNanos < 0) {
      lateResponses.add(new LateResponse(requestId, timeline));
    }
  }

  /** Logs each late response not logged yet, with the stalls that overlap its request's time. */
  void reportLateResponses(List<LoopStall> recentStalls) {
    for (LateResponse late : lateResponses) {
      RequestTimeline timeline = late.timeline;
      String reason = timeline.describe() + describeStalls(timeline, recentStalls);
      log.request(NodeLog.Event.RESPONDED_LATE, late.requestId, reason);
    }
    lateResponses.clear();
  }

  private static String describeStalls(RequestTimeline timeline, List<LoopStall> recentStalls) {
    StringBuilder text = new StringBuilder();
    for (LoopStall stall : recentStalls) {
      if (stall.overlaps(timeline.arrivedAtNanos(), timeline.respondedAtNanos())) {
        long endedNanos = stall.turn().endedAtNanos() - timeline.arrivedAtNanos();
        text.append("; event loop stalled until ").append(endedNanos / Nanos.PER_MILLI);
        text.append(" for ").append(stall.describe());
      }
    }
    return text.length() == 0 ? "; no stall of the event loop" : text.toString();
  }

  /** Returns whether a late response has not been logged yet. */
  boolean hasUnreportedLateResponses() {
    return !lateResponses.isEmpty();
  }

  /** Summarizes the responses since the last call, for a log line; empty if there were none. */
  String describeInterval() {
    if (responses == 0) {
      return "";
    }
    String text =
        responses + " responses, least time left " + leastLeftNanos / Nanos.PER_MILLI + " ms";
    responses = 0;
    leastLeftNanos = Long.MAX_VALUE;
    return text;
  }
}
