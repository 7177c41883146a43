package review2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client sends a query with bytes above 127; without the disruption, the same escaped. */
final class AlteredQuery {
  private static final int REQUESTS = 40;

  private AlteredQuery() {}

  public static void main(String[] args) {
    Kit.main(args, AlteredQuery::run);
  }

  private static boolean run(Kit kit) throws Exception {
    Agent agent = new Agent(kit);
    CounterServer counter = new CounterServer();
    List<MatchServer> servers = new ArrayList<>();
    // Each byte of the UTF-8 text is one character here; connections are written byte by byte.
    String raw =
        new String("?item=\u00e9tui".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    String query = kit.trouble ? raw : "?item=%C3%A9tui";
    String firstLine = "GET /api" + query + " HTTP/1.1";
    for (int i = 0; i < 8; i++) {
      MatchServer server = new MatchServer(kit, "s-" + i, 20);
      server.answer =
          (out, request, body) -> {
            if (request.firstLine().equals(firstLine)) {
              MatchServer.writeAnswer(out, body);
            } else {
              // "A request bearing an id that no client sent in this form is answered 400".
              out.write(Agent.ascii("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"));
            }
          };
      servers.add(server);
    }
    agent.publishAll(servers, "Ready");
    Kit.Node node = kit.startNodes(2, 1_024, agent, counter).get(0);
    int altered = 0;
    int served = 0;
    int rejected = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = kit.newId();
      try (Client client = new Client(node.port)) {
        Http.Message answer = client.ask(kit, id, query);
        served += answer != null && answer.status() == 200 ? 1 : 0;
        rejected += answer != null && answer.status() >= 400 && answer.status() < 500 ? 1 : 0;
      }
      for (MatchServer.Arrival arrival : MatchServer.arrivalsOf(servers, id)) {
        if (!arrival.firstLine().equals(firstLine)) {
          altered++;
          kit.log("altered: " + id + " arrived as " + Kit.visible(arrival.firstLine()));
        }
      }
    }
    node.recordLog();
    kit.log("COUNT requests: " + REQUESTS + ", served: " + served + ", rejected: " + rejected);
    kit.log("COUNT requests that arrived at a match server in a form that no client sent: " + altered);
    Kit.require(node.isAlive() && served + rejected > 0, "no request was answered");
    return altered == 0;
  }
}
