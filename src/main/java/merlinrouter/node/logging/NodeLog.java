package merlinrouter.node.logging;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/**
 * The node's log on standard output: counts of events, written as one line while they grow, and a
 * line for each event that needs its request's id. Used on the event loop only.
 */
public final class NodeLog {
  /** The counted events; their names stand in the log. */
  public enum Event {
    /** An accept failed in this process. */
    ACCEPT_FAILED,
    /** A connection to an endpoint or to discovery failed in this process; nothing was sent. */
    LOCAL_CONNECT_FAILED,
    /** A request's client disconnected before its response. */
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
    /** A request was refused before the gateway saw it: malformed, too slow or too large. */
    BAD_REQUEST,
    /** An attempt's connection ended, or its response was malformed, before it was complete. */
    RESPONSE_INCOMPLETE,
    /** A request had no final response shortly after its deadline, and was failed. */
    OVERDUE,
    /** A final response was written after its client's own deadline. */
    RESPONDED_LATE,
    /** The event loop was stalled for longer than the rules of the service allow for. */
    EVENT_LOOP_STALLED,
    /** The wall clock stepped. */
    CLOCK_STEPPED
  }

  /** How often counts are written unless it is said otherwise. */
  public static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(10);

  /** Bounds the output under a burst of events; the counts cover the others. */
  private static final int MAX_REQUEST_LINES_PER_INTERVAL = 20;

  private final boolean silent;
  private final long intervalNanos;
  private final Map<Event, Long> counts = new EnumMap<>(Event.class);
  private long violations;
  private int requestLines;
  private boolean changed;
  private long intervalStartedAtNanos = System.nanoTime();

  /** Creates a log that writes to standard output, and its counts in the default interval. */
  public NodeLog() {
    this(DEFAULT_INTERVAL);
  }

  /**
   * Creates a log that writes to standard output.
   *
   * @param interval how often counts are written
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
  public void line(String text) {
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
   * Counts an event of a request, and writes a line about it unless this interval already has its
   * maximum of such lines.
   */
  public void request(Event event, String requestId, String reason) {
    count(event);
    if (requestLines < MAX_REQUEST_LINES_PER_INTERVAL) {
      line("request " + requestId + " " + event + ": " + reason);
    }
    requestLines++;
  }

  /** Counts and reports an action that was not carried out since it would break an invariant. */
  public void violation(String requestId, String invariant) {
    violations++;
    changed = true;
    line("invariant violated: request " + requestId + ": " + invariant);
  }

  /**
   * Writes the counts if an interval has passed and any has changed since they were last written.
   * To be called several times an interval.
   *
   * @return whether an interval has passed
   */
  public boolean tick() {
    long nowNanos = System.nanoTime();
    if (nowNanos - intervalStartedAtNanos < intervalNanos) {
      return false;
    }
    intervalStartedAtNanos = nowNanos;
    requestLines = 0;
    if (changed) {
      changed = false;
      line("counts: " + counts + ", violations=" + violations);
    }
    return true;
  }
}
