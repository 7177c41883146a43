package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery is slow: each list comes in pieces within 0.8 s. A match server drains and goes. */
final class ListInPieces {
  private static final int PIECES = 8;
  private static final int PIECE_MILLIS = 100;
  private static final int CLIENTS = 12;

  /** Told at the latest 6 s after discovery had it; then the grace of 1 s and 50 ms. */
  private static final double TOLD_MILLIS = 6_000;

  private static final double GRACE_MILLIS = 1_000 + 50;

  private ListInPieces() {}

  public static void main(String[] args) {
    Kit.main(args, ListInPieces::run);
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
    if (kit.trouble) {
      agent.writer = ListInPieces::writeSlowly;
    }
    double stopAt = kit.millis() + 20_000;
    AtomicInteger served = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(Kit.daemon(() -> ask(kit, node.port, stopAt, served)));
    }
    Kit.sleep(3_000);
    List<MatchServer> draining = servers.subList(0, 2);
    double publishedMillis = kit.millis();
    agent.publishAll(draining, "Terminating");
    for (Thread client : clients) {
      client.join();
    }
    node.recordLog();
    Kit.require(node.isAlive(), "the node has ended");
    int broken = 0;
    for (MatchServer server : draining) {
      for (MatchServer.Arrival arrival : server.arrivals) {
        if (arrival.millis() > publishedMillis + TOLD_MILLIS + GRACE_MILLIS) {
          broken++;
        }
      }
    }
    kit.log("COUNT requests served: " + served + ", watches: " + agent.watches);
    kit.log("COUNT requests that draining match servers got over 7.05 s after the change: " + broken);
    Kit.require(served.get() >= 100, "too few requests were served");
    return broken == 0;
  }

  private static void writeSlowly(OutputStream out, String text) throws IOException {
    int step = text.length() / PIECES + 1;
    for (int from = 0; from < text.length(); from += step) {
      Agent.writeChunk(out, text.substring(from, Math.min(text.length(), from + step)));
      Kit.sleep(PIECE_MILLIS);
    }
  }

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
