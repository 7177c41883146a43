package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.function.LongSupplier;
import merlinrouter.node.http.DecodingShare;
import merlinrouter.node.http.HeaderHeapEstimate;

/**
 * A Netty request decoder that pauses after each request until {@link #resume}. Decoded pipelined
 * requests would take many times the memory of their bytes, and nothing after a rejected request
 * may be decoded at all.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** A request that is handled counts as this many steps of decoding. */
  private static final int STEPS_PER_REQUEST = 128;

  private final DecodingShare share;
  private final Runnable readListener;
  private final LongSupplier earliestArrivalNanos;
  private final ArrivalTimes arrivalTimes = new ArrivalTimes();
  private final HeaderHeapEstimate headers = new HeaderHeapEstimate();
  private long requestArrivedNanos;
  private ChannelHandlerContext context;

  /** Whether a request has been decoded in part; heads are decoded in whole lines only. */
  private boolean partDecoded;

  private boolean requestLineDecoded;
  private boolean requestLineValid;
  private boolean headDecoded;
  private boolean paused;
  private boolean stopped;

  /**
   * Creates a decoder.
   *
   * @param share limits how much is decoded at a time
   * @param readListener called after each read, once all bytes that may be decoded have been
   * @param earliestArrivalNanos the earliest time at which bytes that are read now may have arrived
   */
  RequestDecoder(DecodingShare share, Runnable readListener, LongSupplier earliestArrivalNanos) {
    this.share = share;
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
   * Does not call the superclass, which would request another read whenever auto-read is off and
   * nothing was decoded: only the connection decides when it is read.
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
    } else if (!paused && share.mayDecode()) {
      int startIndex = input.readerIndex();
      if (!partDecoded) {
        requestArrivedNanos = arrivalTimes.nextByteArrivedNanos();
      }
      decodePart(decodeContext, input, output);
      paused = !output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent;
      headDecoded &= !paused;
      requestLineDecoded &= !paused;
      if (paused) {
        share.addSteps(STEPS_PER_REQUEST);
      }
      arrivalTimes.removeDecoded(input.readableBytes());
      partDecoded = !paused && (partDecoded || hasOtherThanLineEnds(input, startIndex));
    }
  }

  private void decodePart(ChannelHandlerContext decodeContext, ByteBuf input, List<Object> output)
      throws Exception {
    int startIndex = input.readerIndex();
    int linesBefore = headers.lines();
    super.decode(decodeContext, input, output);
    if (!requestLineDecoded) {
      checkRequestLine(input, startIndex);
    }
    // Trailers are header lines as well; all else behind the head belongs to the body.
    if (!headDecoded || headers.lines() > linesBefore) {
      headers.addBytes(input.readerIndex() - startIndex);
    }
    if (!output.isEmpty() && output.get(0) instanceof HttpRequest head) {
      headDecoded = true;
      failUnlessRequestLineValid(head);
    }
    share.addSteps(1 + headers.lines() - linesBefore);
  }

  /** Checks the request line if it has just been decoded; lines are decoded as a whole. */
  private void checkRequestLine(ByteBuf input, int startIndex) {
    int lineIndex = RequestLines.findStart(input, startIndex);
    if (lineIndex >= 0) {
      requestLineDecoded = true;
      requestLineValid = RequestLines.hasOnlySpaces(input, lineIndex);
    }
  }

  private void failUnlessRequestLineValid(HttpRequest head) {
    if (!requestLineValid && head.decoderResult().isSuccess()) {
      head.setDecoderResult(
          DecoderResult.failure(new DecoderException("white space other than spaces")));
    }
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    headers.addLine();
    return super.splitHeaderName(line, start, length);
  }

  /**
   * Returns whether the bytes from an index to the reader index include any but stray CR and LF.
   */
  private static boolean hasOtherThanLineEnds(ByteBuf input, int startIndex) {
    int length = input.readerIndex() - startIndex;
    return input.forEachByte(startIndex, length, ByteProcessor.FIND_NON_CRLF) >= 0;
  }

  /**
   * Returns the earliest time at which the first byte of the last decoded request may have arrived.
   * The client's timeout counts from then, however late the rest arrives.
   */
  long requestArrivedNanos() {
    return requestArrivedNanos;
  }

  /** Returns how many received bytes are not decoded yet. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /**
   * Returns the estimated heap in bytes of the decoded header lines of the last request, until
   * {@link #releaseHeaders}.
   */
  int headerHeapBytes() {
    return headers.bytes();
  }

  /** Records that the header lines of the last request are not held any more. */
  void releaseHeaders() {
    headers.reset();
  }

  /** Returns whether bytes of a request that is not completely decoded have been received. */
  boolean hasPartOfRequest() {
    return partDecoded || undecodedBytes() > 0;
  }

  /** Returns whether decoding is paused, so that received bytes stay undecoded. */
  boolean isPaused() {
    return paused;
  }

  /**
   * Resumes decoding after the last request. Bytes that have been received already are decoded in a
   * later turn of the event loop.
   */
  void resume() {
    paused = false;
    if (undecodedBytes() > 0) {
      share.awaitTurn();
    }
  }

  /** Decodes received bytes that are not decoded yet, as far as the share allows it. */
  void decodeReceived() throws Exception {
    channelRead(context, Unpooled.EMPTY_BUFFER);
  }

  /** Discards all further bytes without decoding them. */
  void stop() {
    stopped = true;
  }
}
