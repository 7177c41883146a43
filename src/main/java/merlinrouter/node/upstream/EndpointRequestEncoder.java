package merlinrouter.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes the requests to endpoints. Netty's decoder reads each byte of a client's request target
 * as one character from 0 to 255, and Netty's encoder would write those above 127 as two bytes in
 * UTF-8: the endpoint would get another target than the client has sent.
 */
final class EndpointRequestEncoder extends HttpRequestEncoder {
  private static final int END_OF_LINE = HttpConstants.CR << Byte.SIZE | HttpConstants.LF;

  @Override
  protected void encodeInitialLine(ByteBuf output, HttpRequest request) {
    ByteBufUtil.copy(request.method().asciiName(), output);
    output.writeByte(HttpConstants.SP);
    output.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
    output.writeByte(HttpConstants.SP);
    output.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
    ByteBufUtil.writeShortBE(output, END_OF_LINE);
  }
}
