package merlinrouter.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An HTTP/1 response decoder that is strict about where responses begin and end. Netty's decoder
 * skips line breaks and control characters before a response, buffers an invalid status line until
 * its line break, and does not show whether it has buffered a part of another response. In each
 * case, bytes that belong to no request could be taken for the response to the next request.
 *
 * <p>A malformed response is reported as a failed decoder result or as a {@link DecoderException}.
 */
public class ResponseDecoder extends HttpResponseDecoder {
  private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private boolean betweenResponses = true;
  private boolean noiseBehindResponse;

  /** Returns whether the bytes read so far consist of complete responses only. */
  public boolean isBetweenResponses() {
    return betweenResponses && actualReadableBytes() == 0;
  }

  /**
   * Returns whether the bytes behind the last complete response neither start another response nor
   * are mere line ends. They may be the rest of its body, if its length was given too small.
   */
  public boolean hasNoiseBehindResponse() {
    return noiseBehindResponse;
  }

  /** Rejects a line without a colon, which Netty's decoder accepts as a header without a value. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("no colon after a header name");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (betweenResponses) {
      requireVersionPrefix(in);
    }
    int readableBefore = in.readableBytes();
    super.decode(context, in, out);
    betweenResponses &= in.readableBytes() == readableBefore;
    betweenResponses |= !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** Checks the bytes of the prefix that have been read so far. */
  private void requireVersionPrefix(ByteBuf in) {
    int length = Math.min(VERSION_PREFIX.length, in.readableBytes());
    for (int i = 0; i < length; i++) {
      if (in.getByte(in.readerIndex() + i) != VERSION_PREFIX[i]) {
        noiseBehindResponse = in.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
        in.skipBytes(in.readableBytes());
        betweenResponses = false;
        throw new DecoderException("response does not start with \"HTTP/1.\"");
      }
    }
  }
}
