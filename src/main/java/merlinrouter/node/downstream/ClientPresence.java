package merlinrouter.node.downstream;

import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import merlinrouter.time.Nanos;

/**
 * Tracks when a client was last known to be connected: everything that it had sent was read, and no
 * close followed.
 */
final class ClientPresence {
  /**
   * How long a client with unread bytes counts as connected. No attempt may start more than 100 ms
   * after its client disconnected, and a disconnect behind unread bytes cannot be detected. The
   * other 20 ms are for sending the attempt.
   */
  private static final long MAX_UNSEEN_NANOS = 80 * Nanos.PER_MILLI;

  private final Channel channel;
  private long lastSeenNanos;

  /** Whether reading was paused, and not everything has been read since. */
  private boolean readingPaused;

  private long unreadSinceNanos;

  /**
   * Starts to track the client of an accepted connection.
   *
   * @param waitingSinceNanos the earliest time at which it may have connected
   */
  ClientPresence(Channel channel, long waitingSinceNanos) {
    this.channel = channel;
    this.lastSeenNanos = waitingSinceNanos;
  }

  /**
   * Stops reading: from now on, bytes may stay unread for an unlimited time.
   *
   * @param unreadSinceNanos the earliest time at which bytes that are unread now may have arrived
   */
  void pauseReading(long unreadSinceNanos) {
    if (!readingPaused) {
      readingPaused = true;
      this.unreadSinceNanos = unreadSinceNanos;
    }
    channel.config().setAutoRead(false);
  }

  /**
   * Returns the earliest time at which bytes that are read now may have arrived.
   *
   * @param unpausedNanos the same if reading has not been paused
   */
  long earliestArrivalNanos(long unpausedNanos) {
    return readingPaused ? unreadSinceNanos : unpausedNanos;
  }

  /** Handles the end of a series of reads, which may have left nothing unread. */
  @SuppressWarnings("deprecation") // Channel.Unsafe offers no other type of handle
  void readCompleted() {
    RecvByteBufAllocator.Handle lastRead = channel.unsafe().recvBufAllocHandle();
    if (isReadable() && lastRead.lastBytesRead() < lastRead.attemptedBytesRead()) {
      readingPaused = false;
    }
  }

  /** Returns when the client was last known to be connected. */
  long lastSeenNanos() {
    return lastSeenNanos;
  }

  /**
   * Reads the socket, and returns whether the client has disconnected or may have done so
   * undetected. The read is needed because a close may not have been delivered yet if the event
   * loop was stalled or is still handling other sockets.
   */
  boolean readAndCheckDisconnected() {
    readAvailable();
    if (isReadable()) {
      lastSeenNanos = System.nanoTime();
      readingPaused = false;
    }
    return !channel.isActive() || System.nanoTime() - lastSeenNanos > MAX_UNSEEN_NANOS;
  }

  /** Reads everything that has arrived, including the client's close. */
  @SuppressWarnings("deprecation") // Channel.Unsafe offers no other type of handle
  void readAvailable() {
    RecvByteBufAllocator.Handle lastRead = channel.unsafe().recvBufAllocHandle();
    boolean mayRead = isReadable();
    while (mayRead) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
      mayRead = isReadable() && lastRead.lastBytesRead() > 0;
    }
  }

  private boolean isReadable() {
    return channel.isActive() && channel.config().isAutoRead();
  }
}
