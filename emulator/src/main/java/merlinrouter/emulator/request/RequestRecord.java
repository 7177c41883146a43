package merlinrouter.emulator.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What the client and the upstream servers observed of one request. The client's observations are
 * written only by the client's thread and may be read by any thread; attempts may be added by any
 * thread.
 */
public final class RequestRecord {
  private final String id;
  private final String nodeName;
  private final RequestClass requestClass;
  private final long timeoutMillis;
  private final List<Attempt> attempts = new ArrayList<>();
  private volatile long startedAtNanos;
  private volatile long sentAtNanos;
  private volatile long endedAtNanos;
  private volatile ClientOutcome outcome = ClientOutcome.PENDING;
  private volatile int status;
  private volatile String body = "";
  private volatile boolean connectionReused;
  private volatile boolean incomplete;
  private volatile boolean orderlyClose;
  private volatile long clientCpuWaitNanos;

  /**
   * Creates the record of a request that has not been sent.
   *
   * @param id identifies the request on the wire
   * @param nodeName the node that it is sent to
   * @param requestClass its class
   * @param timeoutMillis the timeout that its client sends with it
   */
  RequestRecord(String id, String nodeName, RequestClass requestClass, long timeoutMillis) {
    this.id = id;
    this.nodeName = nodeName;
    this.requestClass = requestClass;
    this.timeoutMillis = timeoutMillis;
  }

  /** Returns the name of the node that the request is sent to. */
  public String nodeName() {
    return nodeName;
  }

  /** Returns the id that identifies the request on the wire. */
  public String id() {
    return id;
  }

  /** Returns the request's class. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** Returns the timeout that the client sends with the request, in milliseconds. */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Records whether the request is sent on a connection that carried an earlier request. */
  public void setConnectionReused(boolean connectionReused) {
    this.connectionReused = connectionReused;
  }

  /** Returns whether the request was sent on a connection that carried an earlier request. */
  public boolean isConnectionReused() {
    return connectionReused;
  }

  /** Records that the client sends only a part of the request. */
  public void markIncomplete() {
    incomplete = true;
  }

  /** Returns whether the client sends only a part of the request. */
  public boolean isIncomplete() {
    return incomplete;
  }

  /** Records that the client starts to connect or to write. */
  public void markStarted() {
    startedAtNanos = System.nanoTime();
  }

  /** Returns when the client started to connect or to write, or 0 if it has not. */
  public long startedAtNanos() {
    return startedAtNanos;
  }

  /** Records that the client has written everything that it sends. */
  public void markSent() {
    sentAtNanos = System.nanoTime();
  }

  /** Returns when the client had written everything that it sends, or 0 if it has not. */
  public long sentAtNanos() {
    return sentAtNanos;
  }

  /** Records a complete response, which ends the request. */
  public void endWithResponse(int responseStatus, String responseBody) {
    status = responseStatus;
    body = responseBody;
    end(ClientOutcome.RESPONDED);
  }

  /** Records how the request ended. */
  public void end(ClientOutcome clientOutcome) {
    endedAtNanos = System.nanoTime();
    outcome = clientOutcome;
  }

  /** Records that the node closed the connection by a FIN before the first byte of a response. */
  public void endWithOrderlyClose() {
    orderlyClose = true;
    end(ClientOutcome.CONNECTION_CLOSED);
  }

  /**
   * Returns whether the node closed the connection by a FIN, not a reset, before the first byte of
   * a response.
   */
  public boolean endedWithOrderlyClose() {
    return orderlyClose;
  }

  /** Records how long the client's thread waited for a CPU while it waited for the response. */
  public void setClientCpuWaitNanos(long clientCpuWaitNanos) {
    this.clientCpuWaitNanos = clientCpuWaitNanos;
  }

  /** Returns how long the client's thread waited for a CPU while it waited for the response. */
  public long clientCpuWaitNanos() {
    return clientCpuWaitNanos;
  }

  /** Returns how the request ended. */
  public ClientOutcome outcome() {
    return outcome;
  }

  /** Returns whether the request has ended for its client. */
  public boolean hasEnded() {
    return outcome != ClientOutcome.PENDING;
  }

  /** Returns when the request ended, or 0 if it has not. */
  public long endedAtNanos() {
    return endedAtNanos;
  }

  /** Returns the response's status, or 0 without a response. */
  public int status() {
    return status;
  }

  /** Returns the response's body, which is empty without a response. */
  public String body() {
    return body;
  }

  /** Returns the response body that upstream servers send for this request and for no other. */
  public String expectedBody() {
    return expectedBody(id);
  }

  /** Returns the response body that upstream servers send for the request with this id. */
  public static String expectedBody(String requestId) {
    return "answer to " + requestId + "\n";
  }

  /** Adds an attempt. */
  synchronized void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Returns the attempts so far, in the order in which they were added. */
  public synchronized List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    text.append(String.format("%s %s %s, ", id, nodeName, requestClass))
        .append(String.format("timeout %d ms: %s", timeoutMillis, outcome))
        .append(status > 0 ? " " + status : "")
        .append(String.format(" after %d ms", millisSinceSent(endedAtNanos)))
        .append(connectionReused ? " on a reused connection" : "");
    for (Attempt attempt : attempts()) {
      text.append(
          String.format(
              "; %s at +%d ms with timeout %d ms",
              attempt.endpointId(),
              millisSinceSent(attempt.receivedAtNanos()),
              attempt.forwardedTimeoutMillis()));
    }
    return text.toString();
  }

  private long millisSinceSent(long timeNanos) {
    return TimeUnit.NANOSECONDS.toMillis(timeNanos - sentAtNanos);
  }
}
