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
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.InvalidConfigException;

/**
 * The HTTP exchange of a watch: sends one request and passes on the content of its chunked
 * response, which stays open.
 */
final class WatchHandler extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * Discovery writes a list in one piece, so a list that is still incomplete after this time was
   * cut short. Half of the 1 s that is allowed for draining.
   */
  private static final long LIST_COMPLETION_TIMEOUT_MILLIS = 500;

  private static final int STATUS_OK = 200;

  private final DiscoveryClient client;
  private final EndpointListFramer framer;
  private Future<?> completionTimeout;
  private boolean ended;

  WatchHandler(DiscoveryClient client, EndpointListFramer framer) {
    this.client = client;
    this.framer = framer;
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
    if (ended || !client.isCurrent(context.channel())) {
      context.close();
      return;
    }
    if (part instanceof HttpContent content) {
      context.fireChannelRead(content.content().retain());
      updateCompletionTimeout(context);
    }
    if (part instanceof LastHttpContent) {
      context.close();
    }
  }

  private static boolean isErrorHead(HttpObject part) {
    return part instanceof HttpResponse response && response.status().code() != STATUS_OK;
  }

  /**
   * Starts or cancels the timeout after which the watch is closed because a list stays incomplete:
   * later lists would be parsed as the rest of it.
   */
  private void updateCompletionTimeout(ChannelHandlerContext context) {
    if (framer.isBetweenLists() && completionTimeout != null) {
      completionTimeout.cancel(false);
      completionTimeout = null;
    } else if (!framer.isBetweenLists() && completionTimeout == null) {
      completionTimeout =
          context
              .channel()
              .eventLoop()
              .schedule(
                  () ->
                      WatchFailure.closeAfter(
                          context,
                          new InvalidConfigException(
                              "the endpoint list is still incomplete after "
                                  + LIST_COMPLETION_TIMEOUT_MILLIS
                                  + " ms")),
                  LIST_COMPLETION_TIMEOUT_MILLIS,
                  TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (completionTimeout != null) {
      completionTimeout.cancel(false);
    }
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
