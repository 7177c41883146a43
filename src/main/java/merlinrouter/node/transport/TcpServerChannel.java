package merlinrouter.node.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listening socket whose accepted connections are {@link TcpChannel}s. */
public final class TcpServerChannel extends NioServerSocketChannel {
  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    SocketChannel connection = javaChannel().accept();
    if (connection == null) {
      return 0;
    }
    accepted.add(new TcpChannel(this, connection));
    return 1;
  }
}
