package merlinrouter.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * A response decoder that shares its event loop with others: it decodes a limited number of steps
 * in a turn. While received bytes are left, the connection is not read, and decoding continues in a
 * later turn.
 */
public final class ScheduledResponseDecoder extends ResponseDecoder {
  private final DecodingShare share;
  private ChannelHandlerContext context;
  private int decodedHeaderLines;

  /** Creates the decoder of one connection. */
  public ScheduledResponseDecoder(DecodingScheduler scheduler) {
    share = scheduler.newShare(this::continueDecoding);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext readContext, Object input) throws Exception {
    super.channelRead(readContext, input);
    if (share.isExhausted() && readContext.channel().isActive()) {
      readContext.channel().config().setAutoRead(false);
      share.awaitTurn();
    }
  }

  /**
   * Does not call the superclass, which would request another read whenever auto-read is off and
   * nothing was decoded.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext readContext) {
    discardSomeReadBytes();
    readContext.fireChannelReadComplete();
  }

  @Override
  protected void decode(ChannelHandlerContext decodeContext, ByteBuf in, List<Object> out)
      throws Exception {
    if (share.mayDecode()) {
      decodedHeaderLines = 0;
      super.decode(decodeContext, in, out);
      share.addSteps(1 + decodedHeaderLines);
    }
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    decodedHeaderLines++;
    return super.splitHeaderName(line, start, length);
  }

  private void continueDecoding() {
    if (!context.channel().isActive()) {
      return;
    }
    try {
      channelRead(context, Unpooled.EMPTY_BUFFER);
    } catch (Exception e) {
      context.fireExceptionCaught(e);
    }
    channelReadComplete(context);
    if (!share.isExhausted() && context.channel().isActive()) {
      context.channel().config().setAutoRead(true);
    }
  }
}
