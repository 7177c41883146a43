package merlinrouter.node.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.UnixDomainSocketAddress;

/**
 * The kind of socket that goes with an address: TCP, or a file's for a rehearsal that nobody else
 * can reach.
 */
public final class Transport {
  private Transport() {}

  /** For connections to addresses of the kind of {@code like}. */
  public static Bootstrap connecting(EventLoop loop, SocketAddress like) {
    Bootstrap bootstrap = new Bootstrap().group(loop);
    return like instanceof UnixDomainSocketAddress
        ? bootstrap.channel(NioDomainSocketChannel.class)
        : bootstrap.channelFactory(TcpChannel::new).option(ChannelOption.TCP_NODELAY, true);
  }

  /** For listening at an address of the kind of {@code like}. */
  public static ServerBootstrap listening(EventLoop loop, SocketAddress like) {
    ServerBootstrap bootstrap = new ServerBootstrap().group(loop);
    return like instanceof UnixDomainSocketAddress
        ? bootstrap.channel(NioServerDomainSocketChannel.class)
        : bootstrap
            .channelFactory(TcpServerChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Whether a connect has a channel at all. Where the process could make no socket the library
   * hands out a stand-in that cannot even be closed, and tells its listeners on a thread of its
   * own.
   */
  public static boolean hasChannel(ChannelFuture connecting) {
    return connecting.channel() instanceof AbstractNioChannel;
  }

  /** Whether a connect failed in this process, before anything went to the peer. */
  public static boolean isLocalFailure(Throwable cause) {
    return cause instanceof ChannelException
        || cause instanceof SocketException
            && !(cause instanceof ConnectException)
            && !(cause instanceof NoRouteToHostException);
  }
}
