package merlinrouter.emulator.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Reserves listening ports for nodes. The ports are below the ephemeral range, so that no outgoing
 * connection takes the port of a node that is being restarted.
 */
final class LoopbackPorts {
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;

  /** Number of possible first ports of a search; concurrent emulators start at different ones. */
  private static final int START_PORTS = 10_000;

  /** Keeps emulators with successive process ids far apart; coprime to the number of ports. */
  private static final int PROCESS_ID_STRIDE = 6_181;

  private static final Set<Integer> RESERVED = new HashSet<>();

  private LoopbackPorts() {}

  /** Returns a free port that was not returned before. */
  static synchronized int reserve() throws IOException {
    int first =
        FIRST_PORT + (int) (ProcessHandle.current().pid() * PROCESS_ID_STRIDE % START_PORTS);
    for (int port = first; port <= LAST_PORT; port++) {
      if (!RESERVED.contains(port) && isFree(port)) {
        RESERVED.add(port);
        return port;
      }
    }
    throw new IOException("no port from " + first + " to " + LAST_PORT + " is free");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
