package merlinrouter.emulator.peer;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Emulates the quota counter: one total per key, which expires after the time to live that the
 * first call for this key set.
 */
public final class CounterServer extends LoopbackServer {
  /** Query parameter: the units to add. */
  private static final String AMOUNT = "n=";

  /** Query parameter: time to live of a new counter, in milliseconds. */
  private static final String TIME_TO_LIVE_MILLIS = "keep_ms=";

  private record Counter(double totalUnits, long expiresAtNanos) {}

  private record Addition(String key, double units, long timeToLiveMillis) {}

  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean unresponsive;

  /** Starts the server. */
  public CounterServer() throws IOException {
    start();
  }

  /** Sets whether the units of calls are added but no responses are sent. */
  public void setUnresponsive(boolean unresponsive) {
    this.unresponsive = unresponsive;
  }

  /** Returns how many calls have been received so far. */
  public long calls() {
    return calls.get();
  }

  @Override
  void serve(Socket socket) throws IOException {
    for (HttpMessage call = HttpMessage.read(socket.getInputStream());
        call != null;
        call = HttpMessage.read(socket.getInputStream())) {
      calls.incrementAndGet();
      String total = Double.toString(add(parse(call.path())));
      if (!unresponsive) {
        HttpMessage.write(
            socket.getOutputStream(), HttpMessage.response(HttpMessage.STATUS_OK, "", total));
      }
    }
  }

  /** Parses a path of the form {@code key?n=units&keep_ms=millis}. */
  private static Addition parse(String path) {
    String[] parts = path.split("[?&]");
    return new Addition(
        parts[0],
        Double.parseDouble(parts[1].substring(AMOUNT.length())),
        Long.parseLong(parts[2].substring(TIME_TO_LIVE_MILLIS.length())));
  }

  /** Returns the total after the addition. */
  private double add(Addition addition) {
    long nowNanos = System.nanoTime();
    Counter counter =
        counters.compute(
            addition.key(),
            (key, old) ->
                old == null || old.expiresAtNanos() - nowNanos < 0
                    ? new Counter(
                        addition.units(),
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(addition.timeToLiveMillis()))
                    : new Counter(old.totalUnits() + addition.units(), old.expiresAtNanos()));
    return counter.totalUnits();
  }
}
