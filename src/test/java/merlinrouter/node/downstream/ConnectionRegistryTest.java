package merlinrouter.node.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Limits of client connections, with scripted ones. */
class ConnectionRegistryTest {
  private static final int MAX_SOCKETS = 16;
  private static final int MAX_CONNECTIONS = 8;
  private static final int MAX_IDLE_CONNECTIONS = 4;

  private final ConnectionRegistry registry = new ConnectionRegistry(MAX_SOCKETS);

  private static final class ScriptedConnection implements TrackedConnection {
    private boolean open;
    private boolean received;
    private boolean receiving;
    private boolean closing;
    private boolean requestArrivesUnread;
    private long sinceNanos;
    private String closeReason;

    static ScriptedConnection withOpenRequest() {
      ScriptedConnection connection = new ScriptedConnection();
      connection.open = true;
      connection.received = true;
      return connection;
    }

    static ScriptedConnection idleSince(long sinceNanos) {
      ScriptedConnection connection = new ScriptedConnection();
      connection.received = true;
      connection.sinceNanos = sinceNanos;
      return connection;
    }

    @Override
    public boolean isClosing() {
      return closing;
    }

    @Override
    public boolean hasOpenRequest() {
      return open;
    }

    @Override
    public boolean hasReceivedRequest() {
      return received;
    }

    @Override
    public boolean isBetweenRequests() {
      return !open && !receiving;
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
      if (requestArrivesUnread) {
        requestArrivesUnread = false;
        receiving = true;
        return false;
      }
      closing = true;
      closeReason = reason;
      return true;
    }
  }

  /** Adds connections until the next one reaches the limit. */
  private void fillWithOpenRequests(int count) {
    for (int i = 0; i < count; i++) {
      assertTrue(registry.add(ScriptedConnection.withOpenRequest()));
    }
  }

  @Test
  void acceptingPausesIfEveryConnectionHasAnOpenRequest() {
    fillWithOpenRequests(MAX_CONNECTIONS - 1);
    assertFalse(registry.add(ScriptedConnection.withOpenRequest()));
    assertEquals(MAX_CONNECTIONS, registry.size());
  }

  @Test
  void aConnectionOnWhichARequestHasArrivedIsNotEvicted() {
    ScriptedConnection awaited = ScriptedConnection.idleSince(5);
    awaited.requestArrivesUnread = true;
    ScriptedConnection later = ScriptedConnection.idleSince(9);
    assertTrue(registry.add(awaited));
    assertTrue(registry.add(later));
    fillWithOpenRequests(MAX_CONNECTIONS - 3);
    assertTrue(registry.add(ScriptedConnection.withOpenRequest()));
    assertNull(awaited.closeReason);
    assertTrue(later.closing);
  }

  @Test
  void theConnectionIdleLongestIsEvicted() {
    ScriptedConnection later = ScriptedConnection.idleSince(9);
    ScriptedConnection earlier = ScriptedConnection.idleSince(5);
    ScriptedConnection receiving = ScriptedConnection.idleSince(1);
    receiving.receiving = true;
    registry.add(later);
    registry.add(earlier);
    registry.add(receiving);
    fillWithOpenRequests(MAX_CONNECTIONS - 4);
    assertTrue(registry.add(new ScriptedConnection()));
    assertEquals("evicted for a new connection", earlier.closeReason);
    assertNull(later.closeReason);
    assertNull(receiving.closeReason);
  }

  @Test
  void theOldestConnectionThatNeverReceivedARequestIsEvictedFirst() {
    ScriptedConnection idle = ScriptedConnection.idleSince(1);
    ScriptedConnection oldestSilent = new ScriptedConnection();
    ScriptedConnection newerSilent = new ScriptedConnection();
    registry.add(idle);
    registry.add(oldestSilent);
    registry.add(newerSilent);
    fillWithOpenRequests(MAX_CONNECTIONS - 4);
    assertTrue(registry.add(new ScriptedConnection()));
    assertEquals("evicted for a new connection", oldestSilent.closeReason);
    assertNull(idle.closeReason);
    assertNull(newerSilent.closeReason);
  }

  @Test
  void aConnectionThatReceivesItsFirstRequestIsEvictedLast() {
    ScriptedConnection receiving = new ScriptedConnection();
    receiving.receiving = true;
    ScriptedConnection idle = ScriptedConnection.idleSince(1);
    registry.add(receiving);
    registry.add(idle);
    fillWithOpenRequests(MAX_CONNECTIONS - 3);
    assertTrue(registry.add(ScriptedConnection.withOpenRequest()));
    assertEquals("evicted for a new connection", idle.closeReason);
    assertNull(receiving.closeReason);
    assertTrue(registry.add(ScriptedConnection.withOpenRequest()));
    assertEquals("evicted for a new connection", receiving.closeReason);
  }

  @Test
  void idleConnectionsAreCountedUpToTheirLimit() {
    for (int i = 0; i < MAX_IDLE_CONNECTIONS - 1; i++) {
      registry.add(ScriptedConnection.idleSince(i));
    }
    registry.add(new ScriptedConnection());
    assertFalse(registry.hasMaxIdleConnections(), "a silent connection is not idle");
    ScriptedConnection last = ScriptedConnection.idleSince(9);
    registry.add(last);
    assertTrue(registry.hasMaxIdleConnections());
    last.closing = true;
    assertFalse(registry.hasMaxIdleConnections());
  }

  @Test
  void drainClosesIdleConnectionsAndCompletesWithTheLast() {
    ScriptedConnection idle = ScriptedConnection.idleSince(1);
    ScriptedConnection busy = ScriptedConnection.withOpenRequest();
    registry.add(idle);
    registry.add(busy);
    CompletableFuture<Void> drained = new CompletableFuture<>();
    registry.startDraining();
    assertTrue(registry.isDraining());
    assertTrue(registry.isAccepting());
    registry.setDrained(drained);
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
