package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import merlinrouter.node.logging.NodeLog;
import org.junit.jupiter.api.Test;

/** Tests since when connections that are accepted now may have waited in the backlog. */
class AcceptThrottleTest {
  private final AtomicLong previousPollNanos = new AtomicLong();
  private final AcceptThrottle throttle =
      new AcceptThrottle(NodeLog.silent(), previousPollNanos::get);
  private final EmbeddedChannel listeningChannel = new EmbeddedChannel(throttle);

  /** Ends a poll of the listening socket that accepts some connections and then fails. */
  private void pollThatFails(int accepted) {
    for (int i = 0; i < accepted; i++) {
      listeningChannel.pipeline().fireChannelRead("connection");
    }
    // Netty reports the failure of an accept after the end of the read.
    listeningChannel.pipeline().fireChannelReadComplete();
    listeningChannel.pipeline().fireExceptionCaught(new IOException("accept failed"));
  }

  @Test
  void connectionsWaitSinceTheFirstOfSeveralFailedAccepts() {
    previousPollNanos.set(100);
    pollThatFails(0);
    throttle.resume(listeningChannel);
    previousPollNanos.set(500);
    pollThatFails(1);
    previousPollNanos.set(900);
    assertEquals(100, throttle.waitingSinceNanos());
  }

  /** With a pause for each failure, a backlog of many connections waited for seconds. */
  @Test
  void aFailureBehindAcceptedConnectionsDoesNotPauseAccepting() {
    pollThatFails(1);
    assertFalse(throttle.isPaused(listeningChannel));
    assertTrue(throttle.mayHaveUnacceptedConnections(listeningChannel));
    pollThatFails(0);
    assertTrue(throttle.isPaused(listeningChannel));
  }

  @Test
  void aPollThatAcceptsAllConnectionsEndsTheWait() {
    previousPollNanos.set(100);
    pollThatFails(0);
    throttle.resume(listeningChannel);
    listeningChannel.pipeline().fireChannelRead("connection");
    listeningChannel.pipeline().fireChannelReadComplete();
    previousPollNanos.set(500);
    assertEquals(500, throttle.waitingSinceNanos());
    pollThatFails(0);
    previousPollNanos.set(900);
    assertEquals(500, throttle.waitingSinceNanos());
  }
}
