package merlinrouter.node.counter;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.node.transport.Transport;

/**
 * Client of the shared counter that pipelines calls on a few connections. A counter's key
 * determines the connection, so that calls for one counter end in the order in which they were
 * started; calls on one connection are also executed in that order. Used on the event loop only.
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
   * Creates a client that connects when the first call is added.
   *
   * @param listener notified when a call ends
   * @param loop the event loop that the client runs on
   * @param config the counter's address and the timeouts
   */
  public CounterClient(CounterListener listener, EventLoop loop, NodeConfig config) {
    this.listener = listener;
    this.loop = loop;
    address = config.counter();
    callTimeoutNanos = Math.max(MIN_CALL_TIMEOUT_NANOS, config.settings().counter().timeoutNanos());
    long connectTimeoutMillis = TimeUnit.NANOSECONDS.toMillis(config.connectTimeoutNanos());
    bootstrap =
        // All addresses are of one kind, TCP or Unix. Only discovery's is used here, since the
        // counter's may be absent.
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
   * Adds an amount to a counter. The listener is notified when the call ends, which is never before
   * this method returns; earlier calls may end within it if too many are open.
   *
   * @param counterKey key of the counter
   * @param amount units to add; a negative amount is subtracted
   * @param timeToLiveNanos how long the counter is kept after the first addition to it
   */
  public void add(long counterKey, double amount, long timeToLiveNanos) {
    String uri = CounterProtocol.additionUri(counterKey, amount, timeToLiveNanos);
    int shard = (int) Long.remainderUnsigned(counterKey, SHARDS);
    shards[shard].add(new CounterCall(counterKey, uri, listener));
  }

  /**
   * Sends later calls to another address. Calls already written to the previous address may still
   * receive responses from it.
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
