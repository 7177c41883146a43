package merlinrouter.node.warmup;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/** Whether this process can connect to itself over Unix domain sockets. */
final class UnixSockets {
  private UnixSockets() {}

  /**
   * Connects once, which tells before anything else is prepared for it.
   *
   * @param folder where a socket file may be made for a moment
   */
  static boolean areUsable(Path folder) {
    Path file = folder.resolve("probe-" + ProcessHandle.current().pid());
    try {
      UnixDomainSocketAddress address = UnixDomainSocketAddress.of(file);
      try (ServerSocketChannel listening = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
        listening.bind(address);
        SocketChannel.open(address).close();
        return true;
      } finally {
        Files.deleteIfExists(file);
      }
    } catch (IOException | UnsupportedOperationException e) {
      return false;
    }
  }
}
