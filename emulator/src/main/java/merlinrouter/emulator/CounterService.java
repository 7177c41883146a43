package merlinrouter.emulator;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The shared counter's stand-in: numbers by name, which live for the time that their first call
 * names.
 */
final class CounterService extends LoopbackServer {
  private record Total(double value, long expiresAt) {}

  private final Map<String, Total> totals = new ConcurrentHashMap<>();
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean silent;

  CounterService() throws IOException {
    start();
  }

  /** Whether calls are taken and not answered. */
  void setSilent(boolean silent) {
    this.silent = silent;
  }

  /** How many calls have come so far. */
  long calls() {
    return calls.get();
  }

  @Override
  void serve(Socket socket) throws IOException {
    for (HttpMessage call = HttpMessage.read(socket.getInputStream());
        call != null;
        call = HttpMessage.read(socket.getInputStream())) {
      calls.incrementAndGet();
      String[] parts = call.path().split("[?&]");
      double amount = Double.parseDouble(parts[1].substring("n=".length()));
      long lifeMillis = Long.parseLong(parts[2].substring("keep_ms=".length()));
      String total = Double.toString(add(parts[0], amount, lifeMillis));
      if (!silent) {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + total.length() + "\r\n\r\n" + total;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      }
    }
  }

  private double add(String name, double amount, long lifeMillis) {
    long now = System.nanoTime();
    Total total =
        totals.compute(
            name,
            (key, old) ->
                old == null || old.expiresAt() - now < 0
                    ? new Total(amount, now + lifeMillis * 1_000_000L)
                    : new Total(old.value() + amount, old.expiresAt()));
    return total.value();
  }
}
