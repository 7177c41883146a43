package merlinrouter.node.counter;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.transport.Transport;

/**
 * Calls to the shared counter, pipelined on a few connections. A counter's key determines its
 * connection, so that the calls for one counter are executed, and their ends notified, in their
 * order. Used on the event loop only.
 */
public final class CounterClient {
  private static final int SHARDS = 4;
  private static final long MIN_CALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final CounterListener listener;
  private final EventLoop loop;
  private final long callTimeoutNanos;
  private final Bootstrap bootstrap;
  private final CounterShard[] shards = new CounterShard[SHARDS];
  private SocketAddress address;

  /**
   * Creates a client that connects with its first call.
   *
   * @param listener is notified of the ends of calls
   * @param loop the event loop that all runs on
   * @param config the counter's address and the timeouts
   */
  public CounterClient(CounterListener listener, EventLoop loop, NodeConfig config) {
    this.listener = listener;
    this.loop = loop;
    address = config.counter();
    callTimeoutNanos = Math.max(MIN_CALL_TIMEOUT_NANOS, config.settings().counter().timeoutNanos());
    long connectTimeoutMillis = TimeUnit.NANOSECONDS.toMillis(config.connectTimeoutNanos());
    bootstrap =
        // All addresses are of one kind, TCP or Unix; discovery has one in any configuration.
        Transport.clientBootstrap(loop, config.discovery())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMillis));
    for (int i = 0; i < SHARDS; i++) {
      shards[i] = new CounterShard(loop, callTimeoutNanos, this::connect);
    }
  }

  private CounterConnection connect(CounterShard shard) {
    return new CounterConnection(shard, loop, bootstrap, address, callTimeoutNanos);
  }

  /**
   * Adds to a counter; the listener is notified of the end of the call, never from within this
   * method.
   *
   * @param counterKey names the counter
   * @param amount units to add; negative to take back
   * @param timeToLiveNanos how long the counter lives from its first addition
   */
  public void add(long counterKey, double amount, long timeToLiveNanos) {
    String uri = CounterProtocol.additionUri(counterKey, amount, timeToLiveNanos);
    int shard = (int) Long.remainderUnsigned(counterKey, SHARDS);
    shards[shard].add(new CounterCall(counterKey, uri, listener));
  }

  /**
   * Sends later calls to another address; calls that were written to the earlier one may still be
   * answered there.
   */
  public void switchTo(SocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      for (CounterShard shard : shards) {
        shard.reconnect();
      }
    }
  }
}
