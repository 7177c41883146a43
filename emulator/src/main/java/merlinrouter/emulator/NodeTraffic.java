package merlinrouter.emulator;

import java.util.SplittableRandom;

/**
 * The clients of one node: steady requests of all classes, some of which arrive slowly or are left
 * alone.
 */
final class NodeTraffic {
  private static final int CLIENTS = 3;
  private static final long LEAST_WAIT_MILLIS = 150;
  private static final long MOST_WAIT_MILLIS = 2_400;

  /** A little less than the span after which a node ends a resting connection. */
  private static final long REST_MILLIS = 1_900;

  private static final long MOST_PAUSE_MILLIS = 120;

  private final Fleet.Node node;
  private final Ledger ledger;
  private volatile boolean stopped;

  /**
   * Whether the front still sends new connections: not from shortly after a SIGTERM until the next
   * start.
   */
  private volatile boolean admitted = true;

  private final Thread[] threads = new Thread[CLIENTS];

  NodeTraffic(Fleet.Node node, Ledger ledger, SplittableRandom random) {
    this.node = node;
    this.ledger = ledger;
    for (int i = 0; i < CLIENTS; i++) {
      SplittableRandom own = random.split();
      threads[i] = Threads.daemon(node.name() + " client", () -> run(own));
    }
  }

  void setAdmitted(boolean admitted) {
    this.admitted = admitted;
  }

  /** Ends the traffic and waits for the requests that are out. */
  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void run(SplittableRandom random) throws InterruptedException {
    try (Client client = new Client(node.process().port())) {
      while (!stopped) {
        if (admitted || client.isConnected()) {
          ask(client, random);
        }
        Thread.sleep(random.nextLong(MOST_PAUSE_MILLIS));
      }
    }
  }

  private void ask(Client client, SplittableRandom random) throws InterruptedException {
    RequestClass[] classes = RequestClass.values();
    int chance = random.nextInt(100);
    boolean hurried = chance >= 80 && chance < 90;
    RequestRecord request =
        ledger.open(
            node.name(),
            classes[random.nextInt(classes.length)],
            hurried
                ? random.nextLong(1, LEAST_WAIT_MILLIS)
                : random.nextLong(LEAST_WAIT_MILLIS, MOST_WAIT_MILLIS));
    if (chance < 1) {
      client.sendHalfAndStay(request);
    } else if (chance < 2) {
      // Long enough for the node to end the connection: its close may cross the request.
      Thread.sleep(random.nextLong(REST_MILLIS, REST_MILLIS + 400));
      client.exchange(request);
    } else if (chance < 6) {
      client.sendAndLeave(request, random.nextLong(150));
    } else if (chance < 12) {
      client.send(request, random.nextLong(200));
      client.receive(request);
    } else {
      client.exchange(request);
    }
    if (chance >= 95) {
      client.close();
    }
  }
}
