package merlinrouter.emulator.soak;

import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.Fleet;
import merlinrouter.emulator.peer.BackgroundThreads;
import merlinrouter.emulator.peer.Client;
import merlinrouter.emulator.request.RequestClass;
import merlinrouter.emulator.request.RequestRecord;
import merlinrouter.emulator.request.RequestRegistry;

/**
 * The clients of one node: steady requests of all classes, some of which are sent slowly, cut off
 * or abandoned.
 */
final class NodeTraffic {
  private static final int CLIENTS = 3;
  private static final long MAX_PAUSE_MILLIS = 120;
  private static final long MAX_TIME_TO_DISCONNECT_MILLIS = 150;
  private static final long MAX_SEND_PAUSE_MILLIS = 200;

  // An idle client waits about as long as a node keeps an idle connection, so that the node's close
  // may race with the request.
  private static final long MIN_IDLE_MILLIS = 1_900;
  private static final long MAX_IDLE_MILLIS = 2_300;

  // Each request draws a number below 100, whose range determines how the request is sent. Ends of
  // ranges are exclusive.
  private static final int DRAWS = 100;
  private static final int INCOMPLETE_END = 1;
  private static final int AFTER_IDLE_END = 2;
  private static final int ABANDONED_END = 6;
  private static final int SENT_SLOWLY_END = 12;
  private static final int SHORT_TIMEOUT_START = 80;
  private static final int SHORT_TIMEOUT_END = 90;
  private static final int DISCONNECT_AFTERWARDS_START = 95;

  private final Fleet.Node node;
  private final RequestRegistry requests;
  private final ClientTimeouts timeouts;
  private final Thread[] threads = new Thread[CLIENTS];
  private volatile boolean stopped;
  private volatile boolean newConnectionsAllowed = true;

  /** Starts the clients of a node. */
  NodeTraffic(
      Fleet.Node node, RequestRegistry requests, ClientTimeouts timeouts, SplittableRandom random) {
    this.node = node;
    this.requests = requests;
    this.timeouts = timeouts;
    for (int i = 0; i < CLIENTS; i++) {
      SplittableRandom clientRandom = random.split();
      threads[i] = BackgroundThreads.start(node.name() + " client", () -> run(clientRandom));
    }
  }

  /**
   * Sets whether clients may open connections. The emulated load balancer in front of the nodes
   * opens no connections to a node from its kill, or from shortly after its SIGTERM, until it is
   * ready again.
   */
  void setNewConnectionsAllowed(boolean newConnectionsAllowed) {
    this.newConnectionsAllowed = newConnectionsAllowed;
  }

  /** Stops the clients and waits until their requests in flight have ended. */
  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void run(SplittableRandom random) throws InterruptedException {
    try (Client client = new Client(node.process().port())) {
      while (!stopped) {
        if (newConnectionsAllowed || client.isConnected()) {
          request(client, random);
        }
        Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS));
      }
    }
  }

  private void request(Client client, SplittableRandom random) throws InterruptedException {
    RequestClass[] classes = RequestClass.values();
    int draw = random.nextInt(DRAWS);
    RequestClass requestClass = classes[random.nextInt(classes.length)];
    boolean shortTimeout = draw >= SHORT_TIMEOUT_START && draw < SHORT_TIMEOUT_END;
    long timeoutMillis =
        shortTimeout ? timeouts.drawShortMillis(random) : timeouts.drawMillis(random);
    RequestRecord request = requests.register(node.name(), requestClass, timeoutMillis);
    if (draw < INCOMPLETE_END) {
      client.sendHalf(request);
    } else if (draw < AFTER_IDLE_END) {
      Thread.sleep(random.nextLong(MIN_IDLE_MILLIS, MAX_IDLE_MILLIS));
      client.exchange(request);
    } else if (draw < ABANDONED_END) {
      client.sendAndDisconnect(request, random.nextLong(MAX_TIME_TO_DISCONNECT_MILLIS));
    } else if (draw < SENT_SLOWLY_END) {
      client.sendInTwoParts(request, random.nextLong(MAX_SEND_PAUSE_MILLIS));
      client.receive(request);
    } else {
      client.exchange(request);
    }
    if (draw >= DISCONNECT_AFTERWARDS_START) {
      client.close();
    }
  }
}
