import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Case 1: many clients whose request heads never end use up the heap of an edge node. */
public final class HeadsThatNeverEnd {
  /** With the usual clients under a third of the 1,024 descriptors. */
  private static final int BAD_CLIENTS = 250;

  private static final int HEAD_BYTES = 8_100;
  private static final int SERVERS = 8;
  private static final int NODES = 2;

  private HeadsThatNeverEnd() {}

  public static void main(String[] arguments) {
    Bed.main(arguments, HeadsThatNeverEnd::run);
  }

  private static int run(Bed bed) throws Exception {
    Discovery discovery = bed.add(new Discovery(bed));
    Counter counter = bed.add(new Counter());
    for (int i = 0; i < SERVERS; i++) {
      MatchServer server =
          bed.add(new MatchServer("s-" + i,
              (self, request, arrived, socket) -> Servers.sound(bed, self, request, socket)));
      discovery.publish(server.id, server.address(), "Ready", 0);
    }
    List<EdgeNode> nodes = new ArrayList<>();
    List<Clients> clients = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      EdgeNode node = bed.add(new EdgeNode(bed, "n" + i, Bed.freePort(), discovery.address()));
      node.configure(Config.json(i, NODES, node.port, discovery.address(), counter.address(),
          discovery.wholeList()));
      node.start();
      nodes.add(node);
      clients.add(bed.add(new Clients(bed, node.port)));
    }
    for (EdgeNode node : nodes) {
      if (!node.awaitReady(30)) {
        bed.say(node.name + " is not ready: " + node.log());
        return Bed.COULD_NOT_RUN;
      }
    }
    clients.forEach(each -> each.start(60, 0.31));
    Bed.sleep(4);
    List<Socket> bad = bed.trouble ? openBadClients(bed, nodes.get(0)) : List.of();
    Bed.sleep(6);
    for (int i = 0; i < bad.size(); i++) {
      bad.get(i).close();
    }
    clients.forEach(Clients::stop);
    clients.forEach(each -> each.awaitEnd(6));
    return judge(bed, nodes, clients);
  }

  /** Each sends the head of a request, line by line, and never its end. */
  private static List<Socket> openBadClients(Bed bed, EdgeNode node) {
    StringBuilder head = new StringBuilder("GET /api HTTP/1.1\r\nHost: app.svc\r\n");
    while (head.length() < HEAD_BYTES) {
      head.append("a: 1\r\n");
    }
    byte[] bytes = head.toString().getBytes(StandardCharsets.US_ASCII);
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < BAD_CLIENTS && node.isAlive(); i++) {
      try {
        Socket socket = Bed.connect(node.port, 1_000);
        sockets.add(socket);
        socket.getOutputStream().write(bytes);
      } catch (IOException e) {
        bed.record("bad client " + i + ": " + e);
      }
    }
    bed.record(sockets.size() + " bad clients have sent " + bytes.length + " bytes each to " + node.name);
    return sockets;
  }

  private static int judge(Bed bed, List<EdgeNode> nodes, List<Clients> clients) throws IOException {
    boolean broken = false;
    for (int i = 0; i < nodes.size(); i++) {
      EdgeNode node = nodes.get(i);
      int lost = 0;
      int refusedConnections = 0;
      int answered = 0;
      for (Clients.Result result : clients.get(i).results()) {
        if (result.answeredNanos != 0) {
          answered++;
        } else if (result.sentNanos != 0) {
          lost++;
        } else {
          refusedConnections++;
        }
      }
      bed.say(node.name + (node.isAlive() ? " runs" : " has ended with status " + node.exitStatus())
          + "; requests of usual clients: " + answered + " answered, " + lost
          + " written whole and never answered, " + refusedConnections + " not written");
      broken |= !node.isAlive() || lost > 0;
    }
    return broken ? Bed.BROKEN : Bed.HELD;
  }
}
