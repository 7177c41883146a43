package merlinrouter.node.downstream;

import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import merlinrouter.time.Nanos;

/**
 * Tracks when a connection's client was last seen connected: everything it had sent was read, and
 * no close followed.
 */
final class ClientPresence {
  /**
   * A client whose bytes wait unread counts as connected for this long: no attempt may start 100 ms
   * after its client disconnected, and a disconnect behind unread bytes can't be seen. The other 20
   * ms are for sending the attempt.
   */
  private static final long MAX_UNSEEN_NANOS = 80 * Nanos.PER_MILLI;

  private final Channel channel;
  private long lastSeenNanos;
  private boolean readingPaused;

  /**
   * Starts to watch an accepted connection.
   *
   * @param waitingSinceNanos the earliest moment at which it may have connected
   */
  ClientPresence(Channel channel, long waitingSinceNanos) {
    this.channel = channel;
    this.lastSeenNanos = waitingSinceNanos;
  }

  /** Stops reading: bytes may now wait unread for any time. */
  void pauseReading() {
    readingPaused = true;
    channel.config().setAutoRead(false);
  }

  /** Whether bytes read now may have waited since {@link #lastSeenNanos}. */
  boolean wasReadingPaused() {
    return readingPaused;
  }

  /** When the client was last seen connected. */
  long lastSeenNanos() {
    return lastSeenNanos;
  }

  /**
   * Reads the socket, and returns whether the client has disconnected or may have done so unseen:
   * with a stalled event loop, or one that is still handling other sockets, a close may not have
   * been delivered yet.
   */
  boolean readAndCheckDisconnected() {
    readAvailable();
    if (isReadable()) {
      lastSeenNanos = System.nanoTime();
      readingPaused = false;
    }
    return !channel.isActive() || System.nanoTime() - lastSeenNanos > MAX_UNSEEN_NANOS;
  }

  /** Reads all that has arrived, up to the client's close. */
  @SuppressWarnings("deprecation") // no other handle is offered by the channel's unsafe side
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
