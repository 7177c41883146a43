package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests the limits on the number of client connections, with fake connections. */
class ConnectionRegistryTest {
  private static final int MAX_SOCKETS = 16;
  private static final int MAX_CONNECTIONS = 8;
  private static final int MAX_IDLE_CONNECTIONS = 4;

  private final ConnectionRegistry registry = new ConnectionRegistry(MAX_SOCKETS);

  private static final class FakeConnection implements TrackedConnection {
    private boolean openRequest;
    private boolean receivedRequest;
    private boolean receiving;
    private boolean closing;
    private boolean hasUnreadRequest;
    private long sinceNanos;
    private String closeReason;

    static FakeConnection withOpenRequest() {
      FakeConnection connection = new FakeConnection();
      connection.openRequest = true;
      connection.receivedRequest = true;
      return connection;
    }

    static FakeConnection idleSince(long sinceNanos) {
      FakeConnection connection = new FakeConnection();
      connection.receivedRequest = true;
      connection.sinceNanos = sinceNanos;
      return connection;
    }

    @Override
    public boolean isClosing() {
      return closing;
    }

    @Override
    public boolean hasOpenRequest() {
      return openRequest;
    }

    @Override
    public boolean hasReceivedRequest() {
      return receivedRequest;
    }

    @Override
    public boolean isBetweenRequests() {
      return !openRequest && !receiving;
    }

    @Override
    public long stateSinceNanos() {
      return sinceNanos;
    }

    @Override
    public boolean isReadingPaused() {
      return false;
    }

    @Override
    public void enforceTimeouts() {
      closeReason = "timeout";
    }

    @Override
    public boolean initiateClose(String reason) {
      if (hasUnreadRequest) {
        hasUnreadRequest = false;
        receiving = true;
        return false;
      }
      closing = true;
      closeReason = reason;
      return true;
    }
  }

  /** Adds connections with open requests, which must stay below the limit. */
  private void fillWithOpenRequests(int count) {
    for (int i = 0; i < count; i++) {
      assertTrue(registry.add(FakeConnection.withOpenRequest()));
    }
  }

  @Test
  void acceptingPausesIfEveryConnectionHasAnOpenRequest() {
    fillWithOpenRequests(MAX_CONNECTIONS - 1);
    assertFalse(registry.add(FakeConnection.withOpenRequest()));
    assertEquals(MAX_CONNECTIONS, registry.size());
  }

  @Test
  void aConnectionOnWhichARequestHasArrivedIsNotEvicted() {
    FakeConnection withUnreadRequest = FakeConnection.idleSince(5);
    withUnreadRequest.hasUnreadRequest = true;
    FakeConnection later = FakeConnection.idleSince(9);
    assertTrue(registry.add(withUnreadRequest));
    assertTrue(registry.add(later));
    fillWithOpenRequests(MAX_CONNECTIONS - 3);
    assertTrue(registry.add(FakeConnection.withOpenRequest()));
    assertNull(withUnreadRequest.closeReason);
    assertTrue(later.closing);
  }

  @Test
  void theConnectionIdleLongestIsEvicted() {
    FakeConnection later = FakeConnection.idleSince(9);
    FakeConnection earlier = FakeConnection.idleSince(5);
    FakeConnection receiving = FakeConnection.idleSince(1);
    receiving.receiving = true;
    registry.add(later);
    registry.add(earlier);
    registry.add(receiving);
    fillWithOpenRequests(MAX_CONNECTIONS - 4);
    assertTrue(registry.add(new FakeConnection()));
    assertEquals("evicted for a new connection", earlier.closeReason);
    assertNull(later.closeReason);
    assertNull(receiving.closeReason);
  }

  @Test
  void theOldestConnectionThatNeverReceivedARequestIsEvictedFirst() {
    FakeConnection idle = FakeConnection.idleSince(1);
    FakeConnection oldestWithoutRequest = new FakeConnection();
    FakeConnection newerWithoutRequest = new FakeConnection();
    registry.add(idle);
    registry.add(oldestWithoutRequest);
    registry.add(newerWithoutRequest);
    fillWithOpenRequests(MAX_CONNECTIONS - 4);
    assertTrue(registry.add(new FakeConnection()));
    assertEquals("evicted for a new connection", oldestWithoutRequest.closeReason);
    assertNull(idle.closeReason);
    assertNull(newerWithoutRequest.closeReason);
  }

  @Test
  void aConnectionThatReceivesItsFirstRequestIsEvictedLast() {
    FakeConnection receiving = new FakeConnection();
    receiving.receiving = true;
    FakeConnection idle = FakeConnection.idleSince(1);
    registry.add(receiving);
    registry.add(idle);
    fillWithOpenRequests(MAX_CONNECTIONS - 3);
    assertTrue(registry.add(FakeConnection.withOpenRequest()));
    assertEquals("evicted for a new connection", idle.closeReason);
    assertNull(receiving.closeReason);
    assertTrue(registry.add(FakeConnection.withOpenRequest()));
    assertEquals("evicted for a new connection", receiving.closeReason);
  }

  @Test
  void idleConnectionsAreCountedUpToTheirLimit() {
    for (int i = 0; i < MAX_IDLE_CONNECTIONS - 1; i++) {
      registry.add(FakeConnection.idleSince(i));
    }
    registry.add(new FakeConnection());
    assertFalse(registry.hasMaxIdleConnections(), "a connection without a request is not idle");
    FakeConnection last = FakeConnection.idleSince(9);
    registry.add(last);
    assertTrue(registry.hasMaxIdleConnections());
    last.closing = true;
    assertFalse(registry.hasMaxIdleConnections());
  }

  @Test
  void drainClosesIdleConnectionsAndCompletesWithTheLast() {
    FakeConnection idle = FakeConnection.idleSince(1);
    FakeConnection busy = FakeConnection.withOpenRequest();
    registry.add(idle);
    registry.add(busy);
    CompletableFuture<Void> drained = new CompletableFuture<>();
    registry.startDraining();
    assertTrue(registry.isDraining());
    assertTrue(registry.isAccepting());
    registry.stopAccepting(drained);
    assertFalse(registry.isAccepting());
    registry.closeIdleConnections("graceful shutdown");
    assertEquals("graceful shutdown", idle.closeReason);
    assertNull(busy.closeReason);
    registry.remove(idle);
    registry.completeDrainIfEmpty();
    assertFalse(drained.isDone());
    registry.remove(busy);
    registry.completeDrainIfEmpty();
    assertTrue(drained.isDone());
  }
}
