package merlinrouter.node.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import merlinrouter.node.config.EndpointListReader;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.SettingNames;

/** Parses each complete endpoint list of a watch and passes it to the client. */
final class EndpointListHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private final DiscoveryClient client;
  private final SettingNames names;

  EndpointListHandler(DiscoveryClient client, SettingNames names) {
    this.client = client;
    this.names = names;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf text)
      throws InvalidConfigException {
    if (client.isRead(context.channel()) && context.channel().isOpen()) {
      client.updateReceived(
          context.channel(),
          EndpointListReader.parse(text.toString(StandardCharsets.UTF_8), names));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    WatchFailure.closeAfter(context, cause);
  }
}
