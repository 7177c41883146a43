package merlinrouter.node.logging;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * The node's log on standard output: event counts since the start, written as one line per interval
 * in which they have changed, and separate lines for events that need more detail, such as a
 * request id. Used on the event loop only.
 */
public class NodeLog {
  /** The counted events; the log contains the names of these constants. */
  public enum Event {
    /** Accepting a client connection failed in this process. */
    ACCEPT_FAILED,
    /** A connection to an endpoint or to discovery failed in this process; nothing was sent. */
    LOCAL_CONNECT_FAILED,
    /** A client disconnected before its request got a response. */
    CLIENT_DISCONNECTED,
    /** An attempt was not started: no response was owed, or the client may have disconnected. */
    ATTEMPT_SKIPPED,
    /** A second or later attempt of a request was started. */
    RETRIED,
    /** A request was rejected: a retry by its client is harmless. */
    REJECTED,
    /** A request got a 502: it is unknown whether it had an effect. */
    FAILED,
    /** The node closed a client connection without an open request: idle, evicted or shut down. */
    IDLE_CLOSED,
    /** A request did not reach the gateway, for example as malformed, too slow or too large. */
    BAD_REQUEST,
    /** An attempt's connection ended, or its response was malformed, before it was complete. */
    RESPONSE_INCOMPLETE,
    /** A request had no final response shortly after its deadline, and was failed. */
    OVERDUE,
    /** A final response was written after its client's own deadline. */
    RESPONDED_LATE,
    /** The handling of an event threw an exception, which is reported on standard error. */
    EVENT_FAILED,
    /** The event loop was stalled for longer than the rules of the service allow for. */
    EVENT_LOOP_STALLED,
    /** The wall clock stepped. */
    CLOCK_STEPPED,
    /** Discovery started to respond to a watch of the endpoint list. */
    WATCH_ANSWERED,
    /** A watch delivered a complete list or complete changes. */
    LIST_RECEIVED,
    /** A watch was closed since it had fallen silent between two lists. */
    WATCH_SILENT,
    /** A watch was closed without a response, or for another one to be opened. */
    WATCH_UNANSWERED,
    /** A watch was closed since the rest of an incomplete list did not arrive. */
    LIST_INCOMPLETE,
    /** A watch ended at discovery's side or failed. */
    WATCH_ENDED
  }

  /** Default interval between two lines of counts. */
  public static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(10);

  /**
   * Bounds the output under a burst of events of requests, and of watches; events beyond this are
   * only counted.
   */
  private static final int MAX_LINES_PER_INTERVAL = 20;

  private final boolean silent;
  private final long intervalNanos;
  private final Map<Event, Long> counts = new EnumMap<>(Event.class);
  private long violations;
  private int requestLines;
  private int watchLines;
  private boolean changed;
  private long intervalStartedAtNanos = System.nanoTime();

  /** Creates a log that writes to standard output, with counts in the default interval. */
  public NodeLog() {
    this(DEFAULT_INTERVAL);
  }

  /**
   * Creates a log that writes to standard output.
   *
   * @param interval the interval between two lines of counts
   */
  public NodeLog(Duration interval) {
    this(interval, false);
  }

  private NodeLog(Duration interval, boolean silent) {
    this.intervalNanos = interval.toNanos();
    this.silent = silent;
  }

  /** Returns a log that writes nothing, for a node that serves no clients. */
  public static NodeLog silent() {
    return new NodeLog(DEFAULT_INTERVAL, true);
  }

  /** Writes a line. */
  public void writeLine(String text) {
    if (!silent) {
      System.out.println(text);
    }
  }

  /** Counts an event. */
  public void count(Event event) {
    counts.merge(event, 1L, Long::sum);
    changed = true;
  }

  /**
   * Counts an event of a request, and writes a line about it unless the maximum number of such
   * lines has been written in this interval.
   */
  public void request(Event event, String requestId, String reason) {
    count(event);
    if (requestLines < MAX_LINES_PER_INTERVAL) {
      writeLine("request " + requestId + " " + event + ": " + reason);
    }
    requestLines++;
  }

  /**
   * Counts an event of a watch of the endpoint list, and writes a line about it unless the maximum
   * number of such lines has been written in this interval.
   *
   * @param watchNumber number of the watch, counted from the start of the process
   */
  public void watch(Event event, int watchNumber, String detail) {
    count(event);
    if (watchLines < MAX_LINES_PER_INTERVAL) {
      writeLine("watch " + watchNumber + " " + event + ": " + detail);
    }
    watchLines++;
  }

  /** Counts and logs an action that was not carried out because it would break an invariant. */
  public void violation(String requestId, String invariant) {
    violations++;
    changed = true;
    writeLine("invariant violated: request " + requestId + ": " + invariant);
  }

  /**
   * Writes the counts if the interval has ended and any of them has changed since they were last
   * written. Must be called several times per interval.
   *
   * @return whether the interval has ended, also if no count has changed
   */
  public boolean writeCountsIfDue() {
    long nowNanos = System.nanoTime();
    if (nowNanos - intervalStartedAtNanos < intervalNanos) {
      return false;
    }
    intervalStartedAtNanos = nowNanos;
    requestLines = 0;
    watchLines = 0;
    if (changed) {
      changed = false;
      writeLine("counts: " + counts + ", violations=" + violations);
    }
    return true;
  }
}
