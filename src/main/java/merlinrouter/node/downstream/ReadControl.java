package merlinrouter.node.downstream;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;
import merlinrouter.node.http.DecodingShare;

/**
 * Decides when a client connection is read, and since when the bytes that a read returns may have
 * been waiting.
 */
final class ReadControl {
  private final Channel channel;
  private final ClientPresence presence;
  private final DecodingShare decodingShare;
  private final LongSupplier previousPollNanos;
  private long activeSinceNanos;

  /**
   * Creates the control of a connection that is read.
   *
   * @param previousPollNanos when the event loop polled its sockets before its latest poll
   */
  ReadControl(
      Channel channel,
      ClientPresence presence,
      DecodingShare decodingShare,
      LongSupplier previousPollNanos) {
    this.channel = channel;
    this.presence = presence;
    this.decodingShare = decodingShare;
    this.previousPollNanos = previousPollNanos;
  }

  /** Records that the event loop polls the socket from now on. */
  void channelActivated() {
    activeSinceNanos = System.nanoTime();
  }

  /** Returns the earliest time at which bytes that are read now may have arrived. */
  long earliestArrivalNanos() {
    long previousPoll = previousPollNanos.getAsLong();
    // Bytes from the first poll of the socket may have arrived as early as the connection.
    boolean isFirstPoll = previousPoll - activeSinceNanos < 0;
    return presence.earliestArrivalNanos(isFirstPoll ? presence.lastSeenNanos() : previousPoll);
  }

  /**
   * Continues or pauses reading after bytes were decoded: those that are left undecoded are decoded
   * first, in a later turn of the event loop.
   *
   * @param mayReadAhead whether there is room for bytes behind the last request
   */
  void update(boolean mayReadAhead) {
    boolean awaitsTurn = decodingShare.isExhausted();
    if (awaitsTurn) {
      decodingShare.awaitTurn();
    }
    if (mayReadAhead && !awaitsTurn) {
      channel.config().setAutoRead(true);
    } else {
      presence.pauseReading(earliestArrivalNanos());
    }
  }
}
