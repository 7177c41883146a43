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
 * Creates bootstraps for the kind of socket that an address requires: TCP, or a Unix domain socket
 * for the JVM warm-up, which cannot be reached over the network. Classifies failed connects.
 */
public final class Transport {
  private Transport() {}

  /** Returns a bootstrap for connections to addresses of the kind of {@code address}. */
  public static Bootstrap clientBootstrap(EventLoop loop, SocketAddress address) {
    Bootstrap bootstrap = new Bootstrap().group(loop);
    return address instanceof UnixDomainSocketAddress
        ? bootstrap.channel(NioDomainSocketChannel.class)
        : bootstrap.channelFactory(TcpChannel::new).option(ChannelOption.TCP_NODELAY, true);
  }

  /** Returns a bootstrap for listening on an address of the kind of {@code address}. */
  public static ServerBootstrap serverBootstrap(EventLoop loop, SocketAddress address) {
    ServerBootstrap bootstrap = new ServerBootstrap().group(loop);
    return address instanceof UnixDomainSocketAddress
        ? bootstrap.channel(NioServerDomainSocketChannel.class)
        : bootstrap
            .channelFactory(TcpServerChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Returns whether a connect has a channel. If the process could not create a socket, Netty
   * returns a placeholder that cannot be closed, and notifies listeners of the connect on a thread
   * other than the event loop's.
   */
  public static boolean hasChannel(ChannelFuture connecting) {
    return connecting.channel() instanceof AbstractNioChannel;
  }

  /** Returns whether a connect failed in this process, before anything was sent to the peer. */
  public static boolean isLocalFailure(Throwable cause) {
    return cause instanceof ChannelException
        || cause instanceof SocketException
            && !(cause instanceof ConnectException)
            && !(cause instanceof NoRouteToHostException);
  }
}
