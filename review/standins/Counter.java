import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The quota counter. */
final class Counter implements AutoCloseable {
  private static final Pattern CALL =
      Pattern.compile("/tally/([^?/]{1,64})\\?n=(-?[0-9.]+)&keep_ms=([0-9]+)");

  private static final class Count {
    double total;
    long endsNanos;
  }

  private final ServerSocket listener = Bed.listen();
  private final Map<String, Count> counts = new HashMap<>();

  Counter() throws IOException {
    Bed.thread(
        () -> {
          while (!listener.isClosed()) {
            try {
              Socket socket = listener.accept();
              Bed.thread(() -> serve(socket));
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  String address() {
    return Bed.hostPort(listener);
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http call = Http.read(in); call != null; call = Http.read(in)) {
        Matcher matcher = CALL.matcher(call.target());
        String answer;
        if (matcher.matches()) {
          String total = add(matcher.group(1), Double.parseDouble(matcher.group(2)),
              Math.min(60_000, Long.parseLong(matcher.group(3))));
          answer = "HTTP/1.1 200 OK\r\nContent-Length: " + total.length() + "\r\n\r\n" + total;
        } else {
          answer = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
        }
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      // The edge node has closed the connection.
    }
  }

  private synchronized String add(String name, double amount, long keepMillis) {
    long now = System.nanoTime();
    Count count = counts.get(name);
    if (count == null || now - count.endsNanos > 0) {
      count = new Count();
      count.endsNanos = now + keepMillis * 1_000_000;
      counts.put(name, count);
    }
    count.total += amount;
    return java.math.BigDecimal.valueOf(count.total).toPlainString();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
