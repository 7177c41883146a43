package merlinrouter.node.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Outcome;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.http.DecodingScheduler;
import merlinrouter.node.http.ResponseDecoder;
import merlinrouter.node.http.ScheduledResponseDecoder;
import merlinrouter.node.logging.NodeLog;
import merlinrouter.node.transport.Transport;

/**
 * Opens connections to endpoints and counts them. Used on the event loop only.
 *
 * <p>A connect that fails in this process, for example for lack of a file descriptor, is retried:
 * nothing was sent to the endpoint, and the failure is not the endpoint's. All connects of one
 * attempt together take no longer than the connect timeout, since the check of an idempotency key's
 * deduplication window assumes that a retry is sent to its endpoint within that time.
 */
final class Connector {
  /** Short compared to the connect timeout. */
  private static final long LOCAL_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private static final long MIN_CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventLoop loop;
  private final NodeLog log;
  private final long connectTimeoutNanos;
  private final Bootstrap bootstrap;
  private int connections;

  /**
   * Creates a connector without connections.
   *
   * @param decodingScheduler shares the event loop among the connections' responses
   */
  Connector(EventLoop loop, NodeConfig config, NodeLog log, DecodingScheduler decodingScheduler) {
    this.loop = loop;
    this.log = log;
    connectTimeoutNanos = Math.max(MIN_CONNECT_TIMEOUT_NANOS, config.connectTimeoutNanos());
    double maxChargedUnits = config.settings().counter().maxRequestUnits();
    bootstrap =
        // All addresses are of the same kind, TCP or Unix; the one of discovery is always
        // configured.
        Transport.clientBootstrap(loop, config.discovery())
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    ResponseDecoder decoder = new ScheduledResponseDecoder(decodingScheduler);
                    channel
                        .pipeline()
                        .addLast(
                            decoder,
                            new EndpointRequestEncoder(),
                            new UpstreamConnection(decoder, loop, log, maxChargedUnits));
                  }
                });
  }

  /** Returns the number of connections that are open or being opened. */
  int connectionCount() {
    return connections;
  }

  /**
   * Opens a connection and writes the attempt's request to it, or ends the attempt. Neither happens
   * before this method returns.
   */
  void connect(EndpointPool pool, Attempt attempt) {
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos - attempt.elapsedNanos());
    ChannelFuture connecting =
        bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, remainingMillis))
            .connect(pool.address());
    if (!Transport.hasChannel(connecting)) {
      retryLater(pool, attempt);
      return;
    }
    connections++;
    Channel channel = connecting.channel();
    channel.closeFuture().addListener(closed -> connections--);
    connecting.addListener(
        connected -> {
          if (connected.isSuccess() && !pool.isRetired()) {
            UpstreamConnection connection = channel.pipeline().get(UpstreamConnection.class);
            connection.assignTo(pool);
            connection.write(attempt);
            return;
          }
          channel.close();
          if (!connected.isSuccess() && Transport.isLocalFailure(connected.cause())) {
            retryLater(pool, attempt);
          } else {
            attempt.end(Outcome.CONNECT_FAILED);
          }
        });
  }

  private void retryLater(EndpointPool pool, Attempt attempt) {
    log.count(NodeLog.Event.LOCAL_CONNECT_FAILED);
    loop.schedule(() -> retry(pool, attempt), LOCAL_RETRY_DELAY_NANOS, TimeUnit.NANOSECONDS);
  }

  private void retry(EndpointPool pool, Attempt attempt) {
    boolean noTimeLeft = attempt.elapsedNanos() > connectTimeoutNanos - LOCAL_RETRY_DELAY_NANOS;
    if (attempt.isEnded()) {
      return;
    }
    if (noTimeLeft || pool.isRetired() || !attempt.readAndCheckClientWaiting()) {
      attempt.end(Outcome.NOT_SENT);
    } else {
      connect(pool, attempt);
    }
  }
}
