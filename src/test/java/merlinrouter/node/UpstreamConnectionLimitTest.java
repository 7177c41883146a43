package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** More attempts than the node may have connections to endpoints. */
@Timeout(120)
class UpstreamConnectionLimitTest extends EventLoopFixture {
  /** A node with this many sockets or fewer may have as many connections to endpoints. */
  private static final int MAX_CONNECTIONS = 16;

  private static final int ROUNDS = 4;

  /** Else fast endpoints take the file descriptors that clients, discovery and counter need. */
  @Test
  void limitHoldsWhileIdleConnectionsMayNotBeReusedYet() throws Exception {
    ScriptedServer[] servers = new ScriptedServer[MAX_CONNECTIONS];
    String[] endpoints = new String[MAX_CONNECTIONS];
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      servers[i] = startEchoServer();
      endpoints[i] = readyEndpointJson("s-" + i, servers[i].address());
    }
    EdgeNode node = startNode(withSetting(configJson(endpoints), "sockets", MAX_CONNECTIONS));
    for (int round = 0; round < ROUNDS; round++) {
      for (CompletableFuture<String> response : submitAll(node, round)) {
        assertEquals("t-" + round, response.get().substring(0, 3));
        int connections = callOnEventLoop(node, () -> node.pool().connectionCount());
        assertTrue(connections <= MAX_CONNECTIONS, connections + " connections");
      }
    }
  }

  private static List<CompletableFuture<String>> submitAll(EdgeNode node, int round)
      throws Exception {
    List<CompletableFuture<String>> responses = new ArrayList<>();
    runOnEventLoop(
        node,
        () -> {
          for (int i = 0; i < MAX_CONNECTIONS; i++) {
            responses.add(submitRequest(node, "t-" + round + "-" + i));
          }
        });
    return responses;
  }
}
