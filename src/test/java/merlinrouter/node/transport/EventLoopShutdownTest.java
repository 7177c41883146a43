package merlinrouter.node.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Shutdown of an event loop while it runs its tasks. */
@Timeout(60)
class EventLoopShutdownTest {
  /** Channels that the JVM warm-up left open would take the file descriptors of later clients. */
  @Test
  void shutdownRequestedWhileTasksRunClosesChannels() throws Exception {
    EventLoopGroup group = EventLoops.newSingleLoopGroup(NioIoHandler.newFactory());
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel listening =
        Transport.serverBootstrap(group.next(), anyPort)
            .childHandler(new ChannelInboundHandlerAdapter())
            .bind(anyPort)
            .sync()
            .channel();
    group.next().execute(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
    group.terminationFuture().sync();
    assertFalse(listening.isOpen());
  }
}
