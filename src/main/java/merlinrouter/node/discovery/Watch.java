package merlinrouter.node.discovery;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import merlinrouter.node.transport.ProgressTimeout;

/**
 * A watch of the endpoint list and what has been received on it. It times out when nothing more
 * arrives; while a list is incomplete, only further parts of that list count. Used on the event
 * loop only.
 */
final class Watch {
  /**
   * Discovery writes to a watch at least every 2 s. A node is considered notified of the changes
   * that a silent watch missed 6 s after the silence began.
   */
  private static final long MAX_SILENCE_MILLIS = 3_000;

  /**
   * Time without progress after which a watch is closed while it awaits a response or the rest of a
   * list. Other watches are opened beside it meanwhile.
   */
  private static final long MAX_PENDING_MILLIS = 24_000;

  private enum State {
    UNANSWERED,
    LIST_INCOMPLETE,
    BETWEEN_LISTS
  }

  private final int number;
  private final Channel channel;
  private final ProgressTimeout timeout;
  private final long openedAtNanos = System.nanoTime();
  private State state = State.UNANSWERED;

  /**
   * Creates the state of a watch that is being opened.
   *
   * @param number tells this watch from others in the log
   * @param channel the connection, not necessarily established
   * @param timeoutListener closes the watch after a time without progress
   */
  Watch(int number, Channel channel, Consumer<Watch> timeoutListener) {
    this.number = number;
    this.channel = channel;
    timeout = new ProgressTimeout(channel.eventLoop(), () -> timeoutListener.accept(this));
    timeout.start(TimeUnit.MILLISECONDS.toNanos(MAX_PENDING_MILLIS));
  }

  int number() {
    return number;
  }

  /** Returns how long ago the watch was opened. */
  long ageNanos() {
    return System.nanoTime() - openedAtNanos;
  }

  Channel channel() {
    return channel;
  }

  boolean isUnanswered() {
    return state == State.UNANSWERED;
  }

  boolean isListIncomplete() {
    return state == State.LIST_INCOMPLETE;
  }

  /** Returns whether a response, or the rest of a list, is awaited. */
  boolean isPending() {
    return state != State.BETWEEN_LISTS;
  }

  /** Returns how long nothing that counts as progress has been received, or the watch is open. */
  long nanosWithoutProgress() {
    return System.nanoTime() - timeout.lastProgressNanos();
  }

  /** Handles the start of the response. */
  void responseStarted() {
    enterBetweenLists();
  }

  /** Handles a part of an incomplete list; white space may go on for ever and is no progress. */
  void listPartReceived(boolean whiteSpaceOnly) {
    if (!isListIncomplete()) {
      state = State.LIST_INCOMPLETE;
      timeout.start(TimeUnit.MILLISECONDS.toNanos(MAX_PENDING_MILLIS));
    } else if (!whiteSpaceOnly) {
      timeout.progressed();
    }
  }

  /** Handles a part of the response that leaves no list incomplete. */
  void upToDate() {
    if (isListIncomplete()) {
      enterBetweenLists();
    } else {
      timeout.progressed();
    }
  }

  /** Starts the timeout of an answered watch, however long the response took. */
  private void enterBetweenLists() {
    state = State.BETWEEN_LISTS;
    timeout.start(TimeUnit.MILLISECONDS.toNanos(MAX_SILENCE_MILLIS));
  }

  /** Stops the timeout of a watch that is not read any more. */
  void stopTimeout() {
    timeout.stop();
  }
}
