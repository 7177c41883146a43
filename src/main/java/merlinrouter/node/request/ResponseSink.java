package merlinrouter.node.request;

import io.netty.buffer.ByteBuf;

/**
 * The client's side of an open request: takes its one final response. Called on the event loop
 * only.
 */
public interface ResponseSink {
  /** Sends an endpoint's response with status 200; the body stays owned by the caller. */
  void served(ByteBuf body);

  /**
   * Sends a rejection, which promises that a retry is harmless.
   *
   * @param retryAfterNanos time after which the client should retry; 0 for no advice
   */
  void rejected(long retryAfterNanos);

  /** Sends a failure, which promises nothing of the request's effect. */
  void failed();

  /**
   * Reads the client's connection, and returns whether the client has disconnected or may have done
   * so unseen.
   */
  boolean readAndCheckDisconnected();
}
