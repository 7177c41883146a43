package merlinrouter.node.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The HTTP exchange of a watch: sends one request and passes on the content of its chunked
 * response, which stays open.
 */
final class WatchHandler extends SimpleChannelInboundHandler<HttpObject> {
  private static final int STATUS_OK = 200;

  private final DiscoveryClient client;
  private boolean ended;

  WatchHandler(DiscoveryClient client) {
    this.client = client;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, DiscoveryProtocol.watchUri(client.revision()));
    request.headers().set(HttpHeaderNames.HOST, DiscoveryProtocol.HOST);
    context.writeAndFlush(request);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    // Parts that were read before a close are still delivered after it, and the body of an error
    // response is not an endpoint list.
    ended |= part.decoderResult().isFailure() || isErrorHead(part);
    if (!ended) {
      client.responseStarted(context.channel());
    }
    if (ended || !client.isRead(context.channel())) {
      context.close();
      return;
    }
    if (part instanceof HttpContent content) {
      context.fireChannelRead(content.content().retain());
    }
    if (part instanceof LastHttpContent) {
      context.close();
    }
  }

  private static boolean isErrorHead(HttpObject part) {
    return part instanceof HttpResponse response && response.status().code() != STATUS_OK;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ended = true;
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!ended) {
      WatchFailure.closeAfter(context, cause);
    }
    ended = true;
  }
}
