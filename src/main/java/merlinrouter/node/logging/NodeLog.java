package merlinrouter.node.logging;

import java.util.EnumMap;
import java.util.Map;

/**
 * What a node tells its operators: counts of what happened, one line at a time while they grow, and
 * a line for each event that needs its request's id. Used on the event loop only.
 */
public final class NodeLog {
  /** What is counted. */
  public enum Event {
    /** An accept failed in this process. */
    ACCEPT_FAILED,
    /** A socket could not be made or bound in this process; nothing was sent to any peer. */
    LOCAL_CONNECT_FAILED,
    /** A request's client left before its answer. */
    CLIENT_LEFT,
    /** An attempt was not begun since its client had left. */
    ATTEMPT_WITHHELD,
    /** A second or later attempt of a request began. */
    RETRIED,
    /** A request was refused, with a promise that it had no effect. */
    REFUSED,
    /** A request was failed, with no such promise. */
    FAILED,
    /** A client's connection was ended between requests. */
    IDLE_CLOSED,
    /** What a client sent was no request. */
    BAD_REQUEST,
    /** An answer that a server began could not be used. */
    SPOILT_ANSWER,
    /** A request had no final answer when its time was up. */
    OVERDUE,
    /** The event loop was held up for longer than a request can bear. */
    LOOP_HELD,
    /** The wall clock stepped. */
    CLOCK_STEPPED
  }

  private static final long SECOND = 1_000_000_000L;
  private static final long INTERVAL = 10 * SECOND;

  /** Lines with an id in one interval; the counts tell of the others. */
  private static final int MOST_LINES = 20;

  private final boolean silent;
  private final Map<Event, Long> counts = new EnumMap<>(Event.class);
  private long violations;
  private int lines;
  private boolean changed;
  private long intervalBegan = System.nanoTime();

  public NodeLog() {
    this(false);
  }

  private NodeLog(boolean silent) {
    this.silent = silent;
  }

  /** A log that only counts, for a node that no client sees. */
  public static NodeLog silent() {
    return new NodeLog(true);
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

  /** How often an event was counted. */
  long counted(Event event) {
    return counts.getOrDefault(event, 0L);
  }

  /**
   * Counts an event of a request and, while lines are left in this interval, says why it happened.
   */
  public void request(Event event, String id, String why) {
    count(event);
    boundedLine("request " + id + " " + event + ": " + why);
  }

  /** Counts a broken invariant; the action that would break it was not carried out. */
  public void violation(String id, String invariant) {
    violations++;
    changed = true;
    line("invariant violated: request " + id + ": " + invariant);
  }

  /** How many invariants would have been broken. */
  long violations() {
    return violations;
  }

  private void boundedLine(String text) {
    if (lines++ < MOST_LINES) {
      line(text);
    }
  }

  /** Called often: writes the counts when an interval is over and something has changed in it. */
  public void tick() {
    long now = System.nanoTime();
    if (now - intervalBegan < INTERVAL) {
      return;
    }
    intervalBegan = now;
    lines = 0;
    if (changed) {
      changed = false;
      line("counts: " + counts + ", violations=" + violations);
    }
  }
}
