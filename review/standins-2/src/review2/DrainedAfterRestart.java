package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An edge node is killed and starts again while match servers drain; its first watch ends instead
 * of telling.
 */
final class DrainedAfterRestart {
  private static final int CLIENTS = 12;
  private static final double GRACE_MILLIS = 1_000 + 50;

  private DrainedAfterRestart() {}

  public static void main(String[] args) {
    Kit.main(args, DrainedAfterRestart::run);
  }

  private static boolean run(Kit kit) throws Exception {
    Agent agent = new Agent(kit);
    CounterServer counter = new CounterServer();
    List<MatchServer> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      servers.add(new MatchServer(kit, "s-" + i, 30));
    }
    agent.publishAll(servers, "Ready");
    Kit.Node node = kit.startNodes(2, 1_024, agent, counter).get(0);
    double stopAt = kit.millis() + 14_000;
    AtomicInteger served = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(Kit.daemon(() -> ask(kit, node.port, stopAt, served)));
    }
    Kit.sleep(3_000);
    // The node's configuration still names all match servers as ready: the list as it last had it.
    node.kill();
    List<MatchServer> draining = servers.subList(0, 3);
    agent.publishAll(draining, "Terminating");
    Kit.sleep(500);
    AtomicInteger toEnd = new AtomicInteger(kit.trouble ? 1 : 0);
    agent.writer =
        (out, text) -> {
          if (!text.contains("Terminating") || toEnd.getAndDecrement() <= 0) {
            Agent.writeChunk(out, text);
          } else {
            kit.log("discovery: the watch ends instead of telling");
            out.write(Agent.ascii("0\r\n\r\n"));
            throw new IOException("the watch has ended");
          }
        };
    int watchesBefore = agent.watches;
    node.start();
    for (Thread client : clients) {
      client.join();
    }
    node.recordLog();
    Kit.require(node.isAlive(), "the node has ended");
    Kit.require(agent.watches > watchesBefore, "the node opened no watch");
    // What the agent has counts as told from the first moment of the new process.
    double toldMillis = node.startedMillis;
    int broken = 0;
    for (MatchServer server : draining) {
      for (MatchServer.Arrival arrival : server.arrivals) {
        if (arrival.millis() > toldMillis + GRACE_MILLIS) {
          broken++;
          kit.log(
              String.format(
                  "%s got %s %.0f ms after the node was told that it drains",
                  server.id, arrival.id(), arrival.millis() - toldMillis));
        }
      }
    }
    kit.log("COUNT requests served: " + served);
    kit.log("COUNT requests that draining match servers got after the grace period: " + broken);
    Kit.require(served.get() >= 100, "too few requests were served");
    return broken == 0;
  }

  /** The clients' front has not noticed the death yet, so clients go on to this node. */
  private static void ask(Kit kit, int port, double stopAt, AtomicInteger served) {
    while (kit.millis() < stopAt) {
      try (Client client = new Client(port)) {
        Http.Message answer = client.ask(kit, kit.newId(), "");
        served.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
        Kit.sleep(60);
      } catch (IOException e) {
        Kit.sleep(20);
      }
    }
  }
}
