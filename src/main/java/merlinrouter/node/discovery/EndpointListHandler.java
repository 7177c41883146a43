package merlinrouter.node.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.EndpointListParser;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.config.SettingNames;

/**
 * Parses the content of a watch and passes on its endpoint lists and how they progress. Entries of
 * a list whose rest does not arrive soon are passed on before the list is complete.
 */
final class EndpointListHandler extends SimpleChannelInboundHandler<ByteBuf> {
  /** Usually the rest of a list arrives within this time, and the list is applied at once. */
  private static final long MAX_ENTRY_DELAY_MILLIS = 100;

  private final DiscoveryClient client;
  private final EndpointListParser parser;
  private Channel channel;

  /** Number of entries of the incomplete list that have been passed on. */
  private int deliveredEntries;

  private Future<?> entryTimer;
  private boolean failed;

  EndpointListHandler(DiscoveryClient client, SettingNames names) {
    this.client = client;
    parser = new EndpointListParser(names);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf text)
      throws InvalidConfigException {
    if (failed || !client.isRead(channel) || !channel.isOpen()) {
      return;
    }
    for (EndpointList list : parser.parse(ByteBufUtil.getBytes(text))) {
      deliveredEntries = 0;
      client.updateReceived(channel, list);
    }
    if (parser.isBetweenLists()) {
      client.upToDate(channel);
      if (text.isReadable()) {
        client.unchanged();
      }
    } else {
      client.listPartReceived(channel, parser.isLastPartWhiteSpace());
      scheduleEntryDelivery();
    }
  }

  private void scheduleEntryDelivery() {
    if (entryTimer == null || entryTimer.isDone()) {
      entryTimer =
          channel
              .eventLoop()
              .schedule(this::deliverIncompleteList, MAX_ENTRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Passes on the entries of an incomplete list that were not passed on yet. */
  void deliverIncompleteList() {
    OptionalLong revision = parser.incompleteRevision();
    if (failed || revision.isEmpty() || !client.isRead(channel)) {
      return;
    }
    List<EndpointEntry> entries = parser.incompleteEntries(deliveredEntries);
    if (!entries.isEmpty()) {
      deliveredEntries += entries.size();
      client.entriesReceived(new EndpointList(revision.getAsLong(), false, entries));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failed = true;
    WatchFailure.closeAfter(context, cause);
  }
}
