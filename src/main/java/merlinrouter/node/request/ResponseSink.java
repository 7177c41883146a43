package merlinrouter.node.request;

import io.netty.buffer.ByteBuf;

/** Sends the one final response of an open request to its client. Called on the event loop only. */
public interface ResponseSink {
  /** Sends an endpoint's response with status 200; the caller still owns the body. */
  void served(ByteBuf body);

  /**
   * Sends a rejection, which promises that a retry is harmless.
   *
   * @param retryAfterNanos time from now after which the client may retry; 0 for no advice
   */
  void rejected(long retryAfterNanos);

  /** Sends a failure, after which it is unknown whether the request had an effect. */
  void failed();

  /** Sends a failure of this node, after which it is unknown whether the request had an effect. */
  void failedInternally();

  /**
   * Reads the client's connection, and returns whether the client has disconnected or may have done
   * so undetected.
   */
  boolean readAndCheckDisconnected();
}
