package merlinrouter.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that tells an orderly end from all else that a read may return. The platform
 * returns a number below that of an end for a read that a signal interrupted, and the library takes
 * every such number for an end.
 */
public final class TcpChannel extends NioSocketChannel {
  private static final int END_OF_STREAM = -1;

  /** So many interrupts in a row leave the read to the loop's next turn. */
  private static final int MOST_INTERRUPTS = 16;

  private boolean inputEnded;

  /** A channel that is still to be connected. */
  public TcpChannel() {}

  /** An accepted connection. */
  TcpChannel(Channel parent, SocketChannel accepted) {
    super(parent, accepted);
  }

  /**
   * Whether the peer ended its side in order; false behind a reset, an error or a close of ours.
   */
  public boolean isInputEnded() {
    return inputEnded;
  }

  @Override
  protected int doReadBytes(ByteBuf into) throws Exception {
    int read = super.doReadBytes(into);
    for (int i = 0; read < END_OF_STREAM && i < MOST_INTERRUPTS; i++) {
      read = super.doReadBytes(into);
    }
    if (read == END_OF_STREAM) {
      inputEnded = true;
    }
    return read < END_OF_STREAM ? 0 : read;
  }
}
