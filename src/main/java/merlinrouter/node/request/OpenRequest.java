package merlinrouter.node.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import merlinrouter.model.ClientRequest;

/** A request that was taken: what goes on to app servers, and what is still owed to its client. */
public final class OpenRequest {
  /** Where the one final answer goes; told on the loop only. */
  public interface Answers {
    /** Passes on an app server's answer; the buffer stays the caller's. */
    void served(ByteBuf body);

    /**
     * Says that trying again is harmless; {@code retryAfter} nanoseconds from now, 0 for no advice.
     */
    void refused(long retryAfter);

    /** Says that it failed, with no promise about the effect. */
    void failed();

    /**
     * PollTimestamps whether the client has left, or has sent so much ahead that its leaving may
     * have gone unseen.
     */
    boolean hasLeft();
  }

  public final ClientRequest request;
  public final HttpMethod method;
  public final String uri;
  public final String key;
  public final ByteBuf body;
  private final Answers answers;
  public int attempts;
  public boolean attemptOut;

  /**
   * Whether an attempt has ended in a way that does not prove that it never ran, and when the first
   * of these began.
   */
  boolean mayHaveRun;

  long firstMayHaveRunAt;
  public boolean answered;
  public Future<?> overdue;

  /** Takes over the body. */
  public OpenRequest(
      ClientRequest request,
      HttpMethod method,
      String uri,
      String key,
      ByteBuf body,
      Answers answers) {
    this.request = request;
    this.method = method;
    this.uri = uri;
    this.key = key;
    this.body = body;
    this.answers = answers;
  }

  /**
   * Whether an attempt may begin now: nobody waits for one whose client has left, seen or unseen.
   */
  public boolean awaited() {
    return !answered && !answers.hasLeft();
  }

  /** The answers' side if nothing was answered yet, else null: a request has one final answer. */
  public Answers answerOnce() {
    if (answered) {
      return null;
    }
    answered = true;
    return answers;
  }
}
