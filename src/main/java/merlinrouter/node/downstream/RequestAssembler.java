package merlinrouter.node.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import merlinrouter.node.http.BodyAccumulator;
import merlinrouter.node.http.ServiceProtocol;

/**
 * Assembles the head and the body of the request that a connection is receiving, and accounts for
 * the bytes that the connection holds in the memory budget.
 */
final class RequestAssembler {
  /** Reading from a connection pauses above this many undecoded bytes of pipelined requests. */
  private static final int MAX_PIPELINED_BYTES = 4 * ServiceProtocol.MAX_BODY_BYTES;

  private final MemoryBudget budget;
  private final BodyAccumulator body = new BodyAccumulator(ServiceProtocol.MAX_BODY_BYTES);
  private HttpRequest head;

  /** Bytes of this connection that are counted in the memory budget. */
  private int budgetedBytes;

  RequestAssembler(MemoryBudget budget) {
    this.budget = budget;
  }

  /**
   * Starts a request. Its body is rejected based on the length that its head announces, before any
   * of it is read.
   *
   * @throws InvalidRequestException if the body would be too large, or the memory budget is used up
   */
  void start(HttpRequest requestHead) throws InvalidRequestException {
    head = requestHead;
    long length = HttpUtil.getContentLength(requestHead, 0L);
    if (length > ServiceProtocol.MAX_BODY_BYTES) {
      throw bodyTooLarge();
    }
    if (!budget.allows(length)) {
      throw budgetExhausted();
    }
  }

  /**
   * Adds a part of the body, which the caller still owns.
   *
   * @throws InvalidRequestException if the part makes the body too large
   */
  void addContent(ByteBuf content) throws InvalidRequestException {
    if (!body.add(content)) {
      throw bodyTooLarge();
    }
  }

  /**
   * Checks that the request that is being received may grow further.
   *
   * @throws InvalidRequestException if the memory budget is used up
   */
  void checkBudget() throws InvalidRequestException {
    if (!budget.allows(budgetedBytes)) {
      throw budgetExhausted();
    }
  }

  /** Returns whether a head has been received and not taken. */
  boolean hasHead() {
    return head != null;
  }

  /** Returns the head, and clears it. */
  HttpRequest takeHead() {
    HttpRequest taken = head;
    head = null;
    return taken;
  }

  /** Returns the body, which the caller then owns. */
  ByteBuf takeBody() {
    return body.take();
  }

  /** Discards the request that is being assembled, if any. */
  void discard() {
    head = null;
    body.take().release();
  }

  /**
   * Updates the memory budget to the bytes that the connection holds now.
   *
   * @param decoderBytes how many bytes the decoder holds: undecoded ones and decoded header lines
   */
  void updateBudget(int decoderBytes) {
    int heldBytes = decoderBytes + body.size();
    budget.change(heldBytes - budgetedBytes);
    budgetedBytes = heldBytes;
  }

  /**
   * Returns whether too many bytes are waiting behind the request that was received last.
   *
   * @param undecodedBytes how many received bytes are not decoded yet
   */
  boolean hasTooManyPipelinedBytes(int undecodedBytes) {
    return undecodedBytes > 0
        && (undecodedBytes > MAX_PIPELINED_BYTES || !budget.allowsReadingAhead());
  }

  private static InvalidRequestException bodyTooLarge() {
    return new InvalidRequestException(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  private static InvalidRequestException budgetExhausted() {
    return new InvalidRequestException(
        HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for this request");
  }
}
