package merlinrouter.node.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.EndpointListParser;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.SettingNames;

/** Parses the content of a watch and passes on its endpoint lists and how they progress. */
final class EndpointListHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private final DiscoveryClient client;
  private final EndpointListParser parser;

  EndpointListHandler(DiscoveryClient client, SettingNames names) {
    this.client = client;
    parser = new EndpointListParser(names);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf text)
      throws InvalidConfigException {
    Channel channel = context.channel();
    if (!client.isRead(channel) || !channel.isOpen()) {
      return;
    }
    for (EndpointList list : parser.parse(ByteBufUtil.getBytes(text))) {
      client.updateReceived(channel, list);
    }
    if (parser.isBetweenLists()) {
      client.upToDate(channel);
    } else {
      client.listPartReceived(channel, isWhiteSpace(text));
    }
  }

  private static boolean isWhiteSpace(ByteBuf text) {
    return text.forEachByte(EndpointListParser::isWhiteSpace) < 0;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    WatchFailure.closeAfter(context, cause);
  }
}
