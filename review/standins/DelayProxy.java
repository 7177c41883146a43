import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** The network in front of a match server: every byte takes the same time, in each direction. */
final class DelayProxy implements AutoCloseable {
  private record Part(byte[] bytes, long dueNanos) {}

  private final ServerSocket listener = Bed.listen();
  private final int port;
  private final long delayNanos;

  DelayProxy(String target, double delayMillis) throws IOException {
    port = Integer.parseInt(target.substring(target.indexOf(':') + 1));
    delayNanos = (long) (delayMillis * 1e6);
    Bed.thread(this::accept);
  }

  String address() {
    return Bed.hostPort(listener);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        near.setTcpNoDelay(true);
        Socket far = Bed.connect(port, 1_000);
        pump(near, far);
        pump(far, near);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pump(Socket from, Socket to) {
    LinkedBlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    Bed.thread(
        () -> {
          try {
            byte[] buffer = new byte[65_536];
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
              parts.add(new Part(Arrays.copyOf(buffer, count), System.nanoTime() + delayNanos));
            }
          } catch (IOException e) {
            // Ends this direction, as the end of the stream does.
          }
          parts.add(new Part(null, System.nanoTime() + delayNanos));
        });
    Bed.thread(
        () -> {
          try (from; to) {
            OutputStream out = to.getOutputStream();
            for (Part part = parts.take(); part.bytes() != null; part = parts.take()) {
              waitUntil(part.dueNanos());
              out.write(part.bytes());
            }
          } catch (IOException e) {
            // The other side is gone.
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  static void waitUntil(long nanoTime) {
    for (long left = nanoTime - System.nanoTime(); left > 0; left = nanoTime - System.nanoTime()) {
      if (left > 100_000) {
        LockSupport.parkNanos(left - 80_000);
      } else {
        Thread.onSpinWait();
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
