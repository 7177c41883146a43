package merlinrouter.node.warmup;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.SocketAddress;
import merlinrouter.node.counter.CounterProtocol;
import merlinrouter.node.discovery.DiscoveryProtocol;
import merlinrouter.node.transport.Transport;
import merlinrouter.node.upstream.EndpointProtocol;

/** Stands in for all endpoints, the counter and discovery. Handles requests on its event loop. */
final class StubServer {
  /** One request in this many is rejected, so that retries are warmed up too. */
  private static final int REJECTION_INTERVAL = 17;

  /** One request in this many fails, so that retries are warmed up too. */
  private static final int ERROR_INTERVAL = 41;

  private static final byte[] COUNTER_TOTAL = {'1'};
  private static final byte[] EMPTY_LINE = {'\n'};

  private final EventLoop loop;
  private int requests;

  StubServer(EventLoop loop) {
    this.loop = loop;
  }

  /** Listens at an address; returns when the socket is bound. */
  void bind(SocketAddress address) throws InterruptedException {
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpServerCodec(), new RequestHandler());
          }
        };
    Transport.serverBootstrap(loop, address).childHandler(initializer).bind(address).sync();
  }

  private HttpResponseStatus nextStatus() {
    requests++;
    if (requests % REJECTION_INTERVAL == 0) {
      return HttpResponseStatus.SERVICE_UNAVAILABLE;
    }
    return requests % ERROR_INTERVAL == 0
        ? HttpResponseStatus.INTERNAL_SERVER_ERROR
        : HttpResponseStatus.OK;
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest head;

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (part instanceof HttpRequest request) {
        head = request;
      }
      if (part instanceof LastHttpContent) {
        respond(context, head.uri());
      }
    }

    private void respond(ChannelHandlerContext context, String uri) {
      if (uri.startsWith(DiscoveryProtocol.WATCH_URI)) {
        openWatch(context);
      } else if (uri.startsWith(CounterProtocol.COUNTER_PATH)) {
        write(context, HttpResponseStatus.OK, COUNTER_TOTAL);
      } else {
        write(context, nextStatus(), StubRequests.BODY);
      }
    }

    /** Starts a watch that never delivers a list. */
    private void openWatch(ChannelHandlerContext context) {
      HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      context.write(response);
      context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(EMPTY_LINE)));
    }

    private void write(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
        response.headers().set(EndpointProtocol.NOT_EXECUTED, EndpointProtocol.YES);
      }
      context.writeAndFlush(response);
    }

    /** The node is closed while its connections are open, so a failed read is not an error. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
