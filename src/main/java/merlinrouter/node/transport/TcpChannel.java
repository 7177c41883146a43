package merlinrouter.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection that distinguishes the orderly end of its input from all other results of a
 * read. The JDK returns a number below {@code -1} for a read that a signal interrupted, and Netty
 * treats every negative number as the end of input.
 *
 * <p>On an accepted connection a failed write is retried for a short time: the system may be short
 * of buffers (ENOBUFS), and the response would be lost. A broken connection is closed by a failed
 * read meanwhile, or after the last retry. On other connections a failed write is reported
 * immediately, since the caller can use another connection.
 */
public final class TcpChannel extends NioSocketChannel {
  private static final int END_OF_STREAM = -1;

  /** An interrupted read is repeated this many times, then left to the event loop's next poll. */
  private static final int MAX_READ_RETRIES = 16;

  /** With {@link #WRITE_RETRY_DELAY_MILLIS} between them, 100 ms in total. */
  private static final int MAX_FAILED_WRITES = 20;

  private static final long WRITE_RETRY_DELAY_MILLIS = 5;

  private final boolean retriesWrites;
  private boolean inputEnded;
  private int failedWrites;
  private boolean writeRetryScheduled;

  /** Creates a channel that is not connected yet. */
  public TcpChannel() {
    retriesWrites = false;
  }

  /** Creates the channel of a connection that {@code listeningChannel} accepted. */
  TcpChannel(Channel listeningChannel, SocketChannel accepted) {
    super(listeningChannel, accepted);
    retriesWrites = true;
  }

  /**
   * Returns whether the peer ended its side of the connection (FIN); false after a reset, an error
   * or a close by this node.
   */
  public boolean isInputEnded() {
    return inputEnded;
  }

  @Override
  protected int doReadBytes(ByteBuf target) throws Exception {
    int bytesRead = super.doReadBytes(target);
    for (int i = 0; bytesRead < END_OF_STREAM && i < MAX_READ_RETRIES; i++) {
      bytesRead = super.doReadBytes(target);
    }
    if (bytesRead == END_OF_STREAM) {
      inputEnded = true;
    }
    return bytesRead < END_OF_STREAM ? 0 : bytesRead;
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer outbound) throws Exception {
    if (writeRetryScheduled) {
      return;
    }
    try {
      super.doWrite(outbound);
      failedWrites = 0;
    } catch (IOException e) {
      failedWrites++;
      if (!retriesWrites || failedWrites > MAX_FAILED_WRITES) {
        throw e;
      }
      writeRetryScheduled = true;
      eventLoop().schedule(this::retryWrite, WRITE_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void retryWrite() {
    writeRetryScheduled = false;
    ((AbstractNioUnsafe) unsafe()).forceFlush();
  }
}
