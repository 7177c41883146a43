package merlinrouter.node.warmup;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/** Checks whether this process can connect to itself over Unix domain sockets. */
final class UnixSockets {
  private UnixSockets() {}

  /**
   * Returns whether one connect succeeds, so that no warm-up is prepared in vain.
   *
   * @param folder where a temporary socket file is created
   */
  static boolean areUsable(Path folder) {
    Path file = folder.resolve(uniqueName("probe"));
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

  /**
   * Returns a name for a temporary file that differs from those of other processes, also of an
   * earlier one with the same id that was killed.
   */
  static String uniqueName(String prefix) {
    // A random name would add the initialization of a random number generator to the start.
    return prefix + "-" + ProcessHandle.current().pid() + "-" + Long.toHexString(System.nanoTime());
  }
}
