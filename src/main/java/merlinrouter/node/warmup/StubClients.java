package merlinrouter.node.warmup;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.http.ResponseDecoder;
import merlinrouter.node.http.ResponseHandler;
import merlinrouter.node.http.ServiceProtocol;
import merlinrouter.node.transport.Transport;

/**
 * Clients that send their next request as soon as they have received a response. Used on their
 * event loop only, except where a method says otherwise.
 */
final class StubClients {
  /** The gateway's controllers run once a second; a shorter warm-up would not run them. */
  private static final long MIN_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

  private final EventLoop loop;
  private final StubRequests stubRequests;
  private final int minResponses;
  private final long startedAtNanos = System.nanoTime();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private int responses;
  private int served;

  /**
   * Creates clients that send requests until they have received at least {@code minResponses}
   * together and the minimum duration has passed.
   */
  StubClients(EventLoop loop, NodeConfig config, int minResponses) {
    this.loop = loop;
    this.minResponses = minResponses;
    stubRequests = new StubRequests(config);
  }

  /** Connects one more client; may be called on any thread. */
  void connect(SocketAddress address) {
    Transport.clientBootstrap(loop, address)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ResponseDecoder(), new Client());
              }
            })
        .connect(address)
        .addListener(
            connected -> {
              if (!connected.isSuccess()) {
                finished.completeExceptionally(connected.cause());
              }
            });
  }

  /**
   * Returns a future that completes when enough responses were received or an open connection
   * failed, and exceptionally if a connect failed; may be called on any thread.
   */
  CompletableFuture<Void> finished() {
    return finished;
  }

  /** Returns the number of requests that were served with status 200. */
  int served() {
    return served;
  }

  private final class Client extends ResponseHandler {
    Client() {
      super(ServiceProtocol.MAX_BODY_BYTES);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      send(context.channel());
    }

    private void send(Channel channel) {
      channel.writeAndFlush(stubRequests.next(channel.alloc()));
    }

    @Override
    protected boolean expectsResponse() {
      return true;
    }

    @Override
    protected void responseReceived(HttpResponse response, ByteBuf content) {
      responses++;
      if (response.status().equals(HttpResponseStatus.OK)) {
        served++;
      }
      if (responses >= minResponses && System.nanoTime() - startedAtNanos > MIN_DURATION_NANOS) {
        finished.complete(null);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (!finished.isDone()) {
        send(context.channel());
      }
    }

    @Override
    protected void connectionFailed() {
      finished.complete(null);
    }
  }
}
