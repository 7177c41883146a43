package merlinrouter.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that distinguishes an orderly end of input from everything else that a read may
 * return. The JDK returns a number below {@code -1} for a read that a signal interrupted, and Netty
 * takes every negative number for the end.
 */
public final class TcpChannel extends NioSocketChannel {
  private static final int END_OF_STREAM = -1;

  /** After this many interrupts in a row the read is left to the event loop's next poll. */
  private static final int MAX_INTERRUPTED_READS = 16;

  private boolean inputEnded;

  /** Creates a channel that is not connected yet. */
  public TcpChannel() {}

  /** Creates the channel of a connection that {@code listeningChannel} accepted. */
  TcpChannel(Channel listeningChannel, SocketChannel accepted) {
    super(listeningChannel, accepted);
  }

  /**
   * Whether the peer ended its side of the connection (FIN); false after a reset, an error or a
   * close by this node.
   */
  public boolean isInputEnded() {
    return inputEnded;
  }

  @Override
  protected int doReadBytes(ByteBuf target) throws Exception {
    int bytesRead = super.doReadBytes(target);
    for (int i = 0; bytesRead < END_OF_STREAM && i < MAX_INTERRUPTED_READS; i++) {
      bytesRead = super.doReadBytes(target);
    }
    if (bytesRead == END_OF_STREAM) {
      inputEnded = true;
    }
    return bytesRead < END_OF_STREAM ? 0 : bytesRead;
  }
}
