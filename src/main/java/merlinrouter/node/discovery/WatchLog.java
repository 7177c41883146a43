package merlinrouter.node.discovery;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.logging.NodeLog;

/**
 * Logs what becomes of the watches, so that the node's log tells by when it knew of a change and
 * what delayed it. Used on the event loop only.
 */
final class WatchLog {
  /** Bounds the length of a line. */
  private static final int MAX_NAMED_ENDPOINTS = 8;

  private final NodeLog log;

  WatchLog(NodeLog log) {
    this.log = log;
  }

  /** Logs the start of a response. */
  void answered(Watch watch) {
    log.watch(
        NodeLog.Event.WATCH_ANSWERED, watch.number(), "after " + millis(watch.ageNanos()) + " ms");
  }

  /** Logs a complete list or complete changes, and the endpoints that drain or are removed. */
  void listReceived(Watch watch, EndpointList list) {
    List<EndpointEntry> leaving =
        list.entries().stream()
            .filter(entry -> entry.endpoint().state() != EndpointState.READY)
            .toList();
    String names =
        leaving.stream()
            .limit(MAX_NAMED_ENDPOINTS)
            .map(entry -> entry.endpoint().id() + " " + entry.endpoint().state())
            .collect(Collectors.joining(", "));
    log.watch(
        NodeLog.Event.LIST_RECEIVED,
        watch.number(),
        String.format(
            "revision %d, %s of %d, not ready %d [%s]",
            list.revision(),
            list.complete() ? "whole list" : "changes",
            list.entries().size(),
            leaving.size(),
            names));
  }

  /** Logs that a watch is closed because of its timeout, or to make room for another one. */
  void givenUp(Watch watch) {
    log.watch(
        eventOf(watch),
        watch.number(),
        String.format(
            "nothing for %d ms, open for %d ms",
            millis(watch.nanosWithoutProgress()), millis(watch.ageNanos())));
  }

  private static NodeLog.Event eventOf(Watch watch) {
    if (watch.isUnanswered()) {
      return NodeLog.Event.WATCH_UNANSWERED;
    }
    return watch.isListIncomplete() ? NodeLog.Event.LIST_INCOMPLETE : NodeLog.Event.WATCH_SILENT;
  }

  /** Logs that a watch has ended at discovery's side or has failed. */
  void ended(Watch watch) {
    log.watch(
        NodeLog.Event.WATCH_ENDED,
        watch.number(),
        (watch.isPending() ? "in the middle" : "between lists")
            + ", open for "
            + millis(watch.ageNanos())
            + " ms");
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
