package merlinrouter.node.downstream;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import merlinrouter.node.http.DecodingShare;

/** Rejects the request of one connection that takes too long to be received. */
final class ReceiveTimeout {
  /**
   * How long a request may take to be decoded once its time to be received is over. With that time
   * and the interval of the checks it is rejected within 3 s of the accept.
   */
  private static final long DECODING_GRACE_MILLIS = 100;

  private final ClientConnection connection;
  private final ConnectionState state;
  private final DecodingShare decodingShare;
  private final EventLoop loop;

  ReceiveTimeout(
      ClientConnection connection,
      ConnectionState state,
      DecodingShare decodingShare,
      EventLoop loop) {
    this.connection = connection;
    this.state = state;
    this.decodingShare = decodingShare;
    this.loop = loop;
  }

  /**
   * Rejects the request that is being received, unless the rest of it has arrived by now. If
   * received bytes are still to be decoded, it may continue for a short time.
   */
  void rejectUnlessReceived() {
    if (connection.readAndCheckRequestArrived() || state.isClosing()) {
      return;
    }
    if (decodingShare.isExhausted()) {
      loop.schedule(this::rejectIfTimedOut, DECODING_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      reject();
    }
  }

  private void rejectIfTimedOut() {
    if (state.isReceiveTimedOut(System.nanoTime()) && !connection.isRequestComplete()) {
      reject();
    }
  }

  private void reject() {
    connection.rejectAndClose(
        new InvalidRequestException(
            HttpResponseStatus.REQUEST_TIMEOUT, "the request takes too long to come"));
  }
}
