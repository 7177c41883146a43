package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Clients send several requests at once; an edge node gets SIGTERM in a planned restart. */
final class PipelinedRestart {
  private static final int CLIENTS = 12;
  private static final int BURST = 8;

  /** A client's burst begins this long after its last one: 107 requests a second in all. */
  private static final long PERIOD_MILLIS = 900;

  private PipelinedRestart() {}

  public static void main(String[] args) {
    Kit.main(args, PipelinedRestart::run);
  }

  private static boolean run(Kit kit) throws Exception {
    Agent agent = new Agent(kit);
    CounterServer counter = new CounterServer();
    List<MatchServer> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      servers.add(new MatchServer(kit, "s-" + i, 50));
    }
    agent.publishAll(servers, "Ready");
    Kit.Node node = kit.startNodes(2, 1_024, agent, counter).get(0);
    Queue<PipelineClient.Burst> bursts = new ConcurrentLinkedQueue<>();
    double signalAt = kit.millis() + 4_000;
    double stopAt = signalAt + 300;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      // The clients are out of step, so that some have a burst open at any moment.
      long delayMillis = i * PERIOD_MILLIS / CLIENTS;
      clients.add(Kit.daemon(() -> send(kit, node.port, delayMillis, stopAt, bursts)));
    }
    while (kit.millis() < signalAt) {
      Kit.sleep(1);
    }
    signalAt = kit.millis();
    if (kit.trouble) {
      node.signal("TERM");
    }
    for (Thread client : clients) {
      client.join(10_000);
    }
    // SIGKILL follows no sooner than the longest deadline and 0.7 s after SIGTERM.
    while (kit.millis() < signalAt + 2_500 + 800) {
      Kit.sleep(10);
    }
    node.kill();
    node.recordLog();
    return judge(kit, bursts, signalAt);
  }

  private static void send(
      Kit kit,
      int port,
      long delayMillis,
      double stopAt,
      Queue<PipelineClient.Burst> bursts) {
    Kit.sleep(delayMillis);
    try {
      while (kit.millis() < stopAt) {
        double nextAt = kit.millis() + PERIOD_MILLIS;
        bursts.add(PipelineClient.burst(kit, port, BURST));
        Kit.sleep(Math.max(0, Math.round(nextAt - kit.millis())));
      }
    } catch (IOException e) {
      kit.log("client: cannot connect or write: " + e);
    }
  }

  /** A request counts that was written whole before the signal, on a connection ended by FIN. */
  private static boolean judge(
      Kit kit, Queue<PipelineClient.Burst> bursts, double signalAt) {
    int requests = 0;
    int lost = 0;
    int lostLater = 0;
    int foreign = 0;
    for (PipelineClient.Burst burst : bursts) {
      int unanswered = "orderly".equals(burst.end()) ? burst.ids().size() - burst.answers() : 0;
      foreign += burst.foreign();
      if (burst.writtenMillis() < signalAt - 20) {
        requests += burst.ids().size();
        lost += unanswered;
      } else {
        lostLater += unanswered;
      }
    }
    kit.log("COUNT requests written whole before the signal: " + requests);
    kit.log("COUNT of these lost, by an orderly end without an answer: " + lost);
    kit.log("COUNT of those written within 0.3 s after it lost alike, not judged: " + lostLater);
    kit.log("COUNT foreign answers: " + foreign);
    Kit.require(requests >= 100, "too few requests were sent");
    return lost + foreign == 0;
  }
}
