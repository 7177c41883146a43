package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Netty's request decoder, but it pauses behind each request until {@link #resume}. Decoded
 * pipelined requests would take many times the memory of their bytes, and nothing after a rejected
 * request may be decoded at all.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private final Runnable readListener;
  private final LongSupplier earliestArrivalNanos;
  private final ArrivalTimes arrivalTimes = new ArrivalTimes();
  private long requestArrivedNanos;
  private ChannelHandlerContext context;

  /** Whether a request has been decoded in part; of a head, only whole lines are decoded. */
  private boolean partDecoded;

  private boolean paused;
  private boolean stopped;

  /**
   * Creates a decoder.
   *
   * @param readListener called after each read, when all that may be decoded has been
   * @param earliestArrivalNanos the earliest moment at which bytes that are read now may have
   *     arrived
   */
  RequestDecoder(Runnable readListener, LongSupplier earliestArrivalNanos) {
    this.readListener = readListener;
    this.earliestArrivalNanos = earliestArrivalNanos;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext readContext, Object input) throws Exception {
    if (input instanceof ByteBuf bytes && bytes.isReadable()) {
      arrivalTimes.add(bytes.readableBytes(), earliestArrivalNanos.getAsLong());
    }
    super.channelRead(readContext, input);
    readListener.run();
  }

  /**
   * The superclass would read on whenever auto-read is off and nothing was decoded; here the
   * connection decides alone.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext readContext) {
    discardSomeReadBytes();
    readContext.fireChannelReadComplete();
  }

  @Override
  protected void decode(ChannelHandlerContext decodeContext, ByteBuf input, List<Object> output)
      throws Exception {
    if (stopped) {
      input.skipBytes(input.readableBytes());
    } else if (!paused) {
      int startIndex = input.readerIndex();
      if (!partDecoded) {
        requestArrivedNanos = arrivalTimes.nextByteArrivedNanos();
      }
      super.decode(decodeContext, input, output);
      paused = !output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent;
      arrivalTimes.removeDecoded(input.readableBytes());
      partDecoded = !paused && (partDecoded || isMoreThanLineEnds(input, startIndex));
    }
  }

  /** Whether the bytes from an index to the reader index are not only line ends, as may stray. */
  private static boolean isMoreThanLineEnds(ByteBuf input, int startIndex) {
    int length = input.readerIndex() - startIndex;
    return input.forEachByte(startIndex, length, ByteProcessor.FIND_NON_CRLF) >= 0;
  }

  /**
   * The earliest moment at which the first byte of the last decoded request may have arrived. Its
   * client's timeout counts from then, however late the rest arrives.
   */
  long requestArrivedNanos() {
    return requestArrivedNanos;
  }

  /** How many received bytes are not decoded yet. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /** Whether bytes of a request have been received that is not decoded as a whole yet. */
  boolean hasPartOfRequest() {
    return partDecoded || undecodedBytes() > 0;
  }

  /** Whether bytes that are received now wait undecoded. */
  boolean isPaused() {
    return paused;
  }

  /** Goes on decoding behind the last request. */
  void resume() throws Exception {
    paused = false;
    if (undecodedBytes() > 0) {
      channelRead(context, Unpooled.EMPTY_BUFFER);
    }
  }

  /** Drops all further bytes undecoded. */
  void stop() {
    stopped = true;
  }
}
