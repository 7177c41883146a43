package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients send several requests at once, while others ask once and keep their connections. */
final class PipelinedCrowd {
  private static final int SOCKETS = 256;
  private static final int CLIENTS = 6;
  private static final int BURST = 8;

  /**
   * Clients that ask once; each keeps its connection until the node closes it. Another customer
   * comes in its place then, at the earliest a second after it came: 70 requests a second at most.
   */
  private static final int KEEPERS = 70;

  private static final long KEEPER_PERIOD_MILLIS = 1_000;

  /** A client's burst begins this long after its last one: 48 requests a second in all. */
  private static final long PERIOD_MILLIS = 1_000;

  private static final double SECONDS = 15;

  private PipelinedCrowd() {}

  public static void main(String[] args) {
    Kit.main(args, PipelinedCrowd::run);
  }

  private static boolean run(Kit kit) throws Exception {
    Agent agent = new Agent(kit);
    CounterServer counter = new CounterServer();
    List<MatchServer> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      servers.add(new MatchServer(kit, "s-" + i, 50));
    }
    agent.publishAll(servers, "Ready");
    Kit.Node node = kit.startNodes(2, SOCKETS, agent, counter).get(0);
    Queue<PipelineClient.Burst> bursts = new ConcurrentLinkedQueue<>();
    double stopAt = kit.millis() + SECONDS * 1_000;
    List<Thread> clients = new ArrayList<>();
    if (kit.trouble) {
      for (int i = 0; i < KEEPERS; i++) {
        int delayMillis = (int) (i * KEEPER_PERIOD_MILLIS / KEEPERS);
        clients.add(Kit.daemon(() -> askOnceAndKeep(kit, node.port, delayMillis, stopAt)));
      }
      Kit.sleep(3_000);
    }
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(Kit.daemon(() -> send(kit, node.port, stopAt, bursts)));
    }
    for (Thread client : clients) {
      client.join();
    }
    node.recordLog();
    Kit.require(node.isAlive(), "the node has ended");
    return judge(kit, bursts);
  }

  private static void askOnceAndKeep(Kit kit, int port, int delayMillis, double stopAt) {
    Kit.sleep(delayMillis);
    while (kit.millis() < stopAt) {
      double nextAt = kit.millis() + KEEPER_PERIOD_MILLIS;
      try (Client client = new Client(port)) {
        client.ask(kit, kit.newId(), "");
        // Waits until the node closes the connection; nothing more is sent on it.
        client.read(5_000);
      } catch (IOException e) {
        // The connection was reset, or closed before the request was read.
      }
      Kit.sleep(Math.max(0, Math.round(nextAt - kit.millis())));
    }
  }

  private static void send(
      Kit kit, int port, double stopAt, Queue<PipelineClient.Burst> bursts) {
    Kit.sleep(kit.random.nextInt((int) PERIOD_MILLIS));
    while (kit.millis() < stopAt) {
      double nextAt = kit.millis() + PERIOD_MILLIS;
      try {
        bursts.add(PipelineClient.burst(kit, port, BURST));
      } catch (IOException e) {
        kit.log("client: cannot connect or write: " + e);
      }
      Kit.sleep(Math.max(0, Math.round(nextAt - kit.millis())));
    }
  }

  private static boolean judge(Kit kit, Queue<PipelineClient.Burst> bursts) {
    int requests = 0;
    int lost = 0;
    int foreign = 0;
    for (PipelineClient.Burst burst : bursts) {
      requests += burst.ids().size();
      foreign += burst.foreign();
      lost += "orderly".equals(burst.end()) ? burst.ids().size() - burst.answers() : 0;
    }
    kit.log("COUNT requests sent: " + requests);
    kit.log("COUNT of these lost, by an orderly end without an answer: " + lost);
    kit.log("COUNT foreign answers: " + foreign);
    Kit.require(requests >= 100, "too few requests were sent");
    return lost + foreign == 0;
  }
}
