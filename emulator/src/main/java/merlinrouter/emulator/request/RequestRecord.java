package merlinrouter.emulator.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What the client and the upstream servers observed of one request. The client's part is written by
 * the client's thread alone and may be read by any thread; attempts may be added by any thread.
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
   * @param timeoutMillis how long its client waits for a response
   */
  RequestRecord(String id, String nodeName, RequestClass requestClass, long timeoutMillis) {
    this.id = id;
    this.nodeName = nodeName;
    this.requestClass = requestClass;
    this.timeoutMillis = timeoutMillis;
  }

  /** The node that the request is sent to. */
  public String nodeName() {
    return nodeName;
  }

  /** Identifies the request on the wire. */
  public String id() {
    return id;
  }

  /** The request's class. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** How long the client waits for a response, in milliseconds. */
  public long timeoutMillis() {
    return timeoutMillis;
  }

  /** Records whether the request is sent on a connection that had carried one before. */
  public void setConnectionReused(boolean connectionReused) {
    this.connectionReused = connectionReused;
  }

  /** Whether the request was sent on a connection that had carried one before. */
  public boolean isConnectionReused() {
    return connectionReused;
  }

  /** Records that the client sends only a part of the request. */
  public void markIncomplete() {
    incomplete = true;
  }

  /** Whether the client sends only a part of the request. */
  public boolean isIncomplete() {
    return incomplete;
  }

  /** Records that the client begins to connect or to write. */
  public void markStarted() {
    startedAtNanos = System.nanoTime();
  }

  /** When the client began to connect or to write; 0 if it has not. */
  public long startedAtNanos() {
    return startedAtNanos;
  }

  /** Records that the client has written all that it sends. */
  public void markSent() {
    sentAtNanos = System.nanoTime();
  }

  /** When the client had written all that it sends; 0 if it has not. */
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
  public void end(ClientOutcome how) {
    endedAtNanos = System.nanoTime();
    outcome = how;
  }

  /** Records that the node closed the connection in order (FIN) before a complete response. */
  public void endWithOrderlyClose() {
    orderlyClose = true;
    end(ClientOutcome.CONNECTION_CLOSED);
  }

  /** Whether the node closed the connection in order, not by a reset, before a response. */
  public boolean endedWithOrderlyClose() {
    return orderlyClose;
  }

  /** Records how long the client's thread waited for a CPU from the sending to the end. */
  public void setClientCpuWaitNanos(long clientCpuWaitNanos) {
    this.clientCpuWaitNanos = clientCpuWaitNanos;
  }

  /** How long the client's thread waited for a CPU while it waited for the response. */
  public long clientCpuWaitNanos() {
    return clientCpuWaitNanos;
  }

  /** How the request ended. */
  public ClientOutcome outcome() {
    return outcome;
  }

  /** Whether the client has seen the request's end. */
  public boolean hasEnded() {
    return outcome != ClientOutcome.PENDING;
  }

  /** When the request ended; 0 if it has not. */
  public long endedAtNanos() {
    return endedAtNanos;
  }

  /** The response's status; 0 without a response. */
  public int status() {
    return status;
  }

  /** The response's body; empty without a response. */
  public String body() {
    return body;
  }

  /** The body of the response that upstream servers give to this request and to no other. */
  public String expectedBody() {
    return expectedBody(id);
  }

  /** The body of the response that upstream servers give to the request with this id. */
  public static String expectedBody(String requestId) {
    return "answer to " + requestId + "\n";
  }

  /** Adds an attempt. */
  synchronized void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  /** The attempts so far, in the order of their arrival. */
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

  private long millisSinceSent(long momentNanos) {
    return TimeUnit.NANOSECONDS.toMillis(momentNanos - sentAtNanos);
  }
}
