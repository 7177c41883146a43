package merlinrouter.emulator.request;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Holds all requests of a run by their ids. Thread-safe. */
public final class RequestRegistry {
  private final Map<String, RequestRecord> requests = new ConcurrentHashMap<>();
  private final Set<String> markedIds = ConcurrentHashMap.newKeySet();
  private final AtomicLong unknownAttempts = new AtomicLong();
  private final AtomicLong lastId = new AtomicLong();

  /** Creates the record of a new request with a unique id. */
  public RequestRecord register(String nodeName, RequestClass requestClass, long timeoutMillis) {
    String id = String.format("r%08d", lastId.incrementAndGet());
    RequestRecord request = new RequestRecord(id, nodeName, requestClass, timeoutMillis);
    requests.put(id, request);
    return request;
  }

  /** Adds an attempt to its request; counts it as unknown if no client sent this id. */
  public void addAttempt(String requestId, Attempt attempt) {
    RequestRecord request = requests.get(requestId);
    if (request == null) {
      unknownAttempts.incrementAndGet();
    } else {
      request.addAttempt(attempt);
    }
  }

  /** Marks a request that a test's upstream servers treat differently. */
  public void mark(String requestId) {
    markedIds.add(requestId);
  }

  /** Returns whether a request was marked. */
  public boolean isMarked(String requestId) {
    return markedIds.contains(requestId);
  }

  /** Returns the number of attempts that an upstream server has received. */
  public long attemptsAt(String endpointId) {
    return requests.values().stream()
        .flatMap(request -> request.attempts().stream())
        .filter(attempt -> attempt.endpointId().equals(endpointId))
        .count();
  }

  /** Returns all requests so far. */
  public List<RequestRecord> requests() {
    return List.copyOf(requests.values());
  }

  /** Returns the number of attempts that carried an id that no client sent. */
  public long unknownAttempts() {
    return unknownAttempts.get();
  }
}
