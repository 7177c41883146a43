package merlinrouter.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An HTTP/1 response decoder that is strict about where responses begin and end. Netty's decoder
 * skips line ends and control characters ahead of a response, waits for the end of a first line of
 * noise, and hides what it holds of a further response: each of these would let bytes that belong
 * to no request pass for the next one's response.
 *
 * <p>A malformed response is passed on as a failed decoder result or as a {@link DecoderException}.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
  private static final byte[] VERSION_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private boolean betweenResponses = true;

  /** Whether all that was read is complete responses. */
  public boolean isBetweenResponses() {
    return betweenResponses && actualReadableBytes() == 0;
  }

  /** Netty's decoder takes words without a colon for a header without a value. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("no colon after a header's name");
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

  /** Checks as much of the prefix as has been read. */
  private void requireVersionPrefix(ByteBuf in) {
    int length = Math.min(VERSION_PREFIX.length, in.readableBytes());
    for (int i = 0; i < length; i++) {
      if (in.getByte(in.readerIndex() + i) != VERSION_PREFIX[i]) {
        in.skipBytes(in.readableBytes());
        betweenResponses = false;
        throw new DecoderException("not an HTTP/1 response");
      }
    }
  }
}
