package merlinrouter.emulator;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** All requests of a run, and the attempts that servers saw of them. */
final class Ledger implements MatchServer.Observer {
  private final Map<String, RequestRecord> requests = new ConcurrentHashMap<>();
  private final Set<String> marked = ConcurrentHashMap.newKeySet();
  private final AtomicLong unknownAttempts = new AtomicLong();
  private final AtomicLong nextId = new AtomicLong();

  /** Begins a request with an id of its own. */
  RequestRecord open(String node, RequestClass requestClass, long waitMillis) {
    RequestRecord request =
        new RequestRecord(
            String.format("r%08d", nextId.incrementAndGet()), node, requestClass, waitMillis);
    requests.put(request.id, request);
    return request;
  }

  @Override
  public Runnable arrived(
      MatchServer server, HttpMessage message, MatchServer.Treatment treatment) {
    long now = System.nanoTime();
    RequestRecord request = requests.get(message.headers().getOrDefault("x-trace-id", ""));
    if (request == null) {
      unknownAttempts.incrementAndGet();
      return () -> {};
    }
    long told = Long.parseLong(message.headers().getOrDefault("x-expires-in-ms", "0"));
    boolean neverRuns = treatment.behavior() == MatchServer.Behavior.TURN_AWAY;
    RequestRecord.Attempt attempt =
        request.addAttempt(new RequestRecord.Attempt(server.id(), now, told, neverRuns));
    return () -> attempt.endedAt = System.nanoTime();
  }

  /** Marks a request that a test's script treats in its own way. */
  void mark(String id) {
    marked.add(id);
  }

  /** Whether a request was marked. */
  boolean isMarked(String id) {
    return marked.contains(id);
  }

  /** How many attempts a server got. */
  long attemptsAt(String server) {
    return requests.values().stream()
        .flatMap(request -> request.attempts().stream())
        .filter(attempt -> attempt.server.equals(server))
        .count();
  }

  /** All requests so far. */
  List<RequestRecord> requests() {
    return List.copyOf(requests.values());
  }

  /** How many attempts carried an id that no client sent. */
  long unknownAttempts() {
    return unknownAttempts.get();
  }
}
