package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** One in ten answers of match servers has a length that does not fit: less than its body. */
final class ShortLength {
  private static final double SPOILT_SHARE = 0.1;
  private static final int CLIENTS = 6;
  private static final double SECONDS = 10;

  private final Kit kit;
  private final Set<String> spoilt = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();

  private ShortLength(Kit kit) {
    this.kit = kit;
  }

  public static void main(String[] args) {
    Kit.main(args, kit -> new ShortLength(kit).run());
  }

  private boolean run() throws Exception {
    Agent agent = new Agent(kit);
    CounterServer counter = new CounterServer();
    List<MatchServer> servers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      MatchServer server = new MatchServer(kit, "s-" + i, 50);
      server.answer = this::answer;
      servers.add(server);
    }
    agent.publishAll(servers, "Ready");
    Kit.Node node = kit.startNodes(2, 1_024, agent, counter).get(0);
    double stopAt = kit.millis() + SECONDS * 1_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(Kit.daemon(() -> ask(node.port, stopAt)));
    }
    for (Thread client : clients) {
      client.join();
    }
    node.recordLog();
    Kit.require(node.isAlive(), "the node has ended");
    kit.log("COUNT answers: " + answers + ", with status 200: " + served);
    kit.log("COUNT answers that the match servers spoilt: " + spoilt.size());
    kit.log("COUNT answers with status 200 and another body than the one made: " + wrong);
    Kit.require(served.get() >= 100, "too few requests were served");
    return wrong.get() == 0;
  }

  /** The whole answer is written at once; the connection stays open, as for all spoilt answers. */
  private void answer(OutputStream out, Http.Message request, String body) throws IOException {
    if (kit.trouble && ThreadLocalRandom.current().nextDouble() < SPOILT_SHARE) {
      spoilt.add(request.header("x-trace-id"));
      kit.log("match server: spoils the answer to " + request.header("x-trace-id"));
      int length = body.length() / 2;
      out.write(Agent.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body));
    } else {
      MatchServer.writeAnswer(out, body);
    }
  }

  private void ask(int port, double stopAt) {
    while (kit.millis() < stopAt) {
      try (Client client = new Client(port)) {
        String id = kit.newId();
        Http.Message answer = client.ask(kit, id, "");
        answers.incrementAndGet();
        if (answer != null) {
          boolean own = answer.text().equals(MatchServer.bodyFor(id, "GET /api HTTP/1.1"));
          served.addAndGet(answer.status() == 200 ? 1 : 0);
          wrong.addAndGet(answer.status() == 200 && !own ? 1 : 0);
        }
      } catch (IOException e) {
        Kit.sleep(20);
      }
    }
  }
}
