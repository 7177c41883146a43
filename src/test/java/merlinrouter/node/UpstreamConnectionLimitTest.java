package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the limit of a node's connections to endpoints. */
@Timeout(120)
class UpstreamConnectionLimitTest extends EventLoopFixture {
  /** The smallest limit of connections to endpoints; applies at this many sockets or fewer. */
  private static final int MAX_CONNECTIONS = 16;

  private static final int ROUNDS = 4;

  /**
   * Guards against new connections beyond the limit while idle ones are in their quiet period: fast
   * endpoints would take the file descriptors that clients, discovery and counter need.
   */
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
        assertTrue(
            connections <= MAX_CONNECTIONS,
            connections + " connections to endpoints, limit " + MAX_CONNECTIONS);
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
