package merlinrouter.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import merlinrouter.node.logging.ErrorLog;
import merlinrouter.node.transport.TcpChannel;

/**
 * Assembles a peer's responses and detects malformed ones as early as possible: a body length that
 * is too large, given twice or, unless {@link #acceptsResponseWithoutLength}, missing is detected
 * in the head. Input after a malformed response is ignored. Used on the event loop only.
 */
public abstract class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
  /** More 1xx responses than this before a final response count as a malformed response. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 32;

  private static final int STATUS_SWITCHING_PROTOCOLS = 101;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;

  private final int maxBodyBytes;
  private final BodyAccumulator body;
  private HttpResponse head;
  private int informationalResponses;
  private boolean failed;

  /**
   * Whether the current response has no length, so that only the peer's orderly close of the
   * connection shows that it is complete.
   */
  private boolean closeDelimited;

  /** Creates a handler for responses with a body of up to {@code maxBodyBytes}. */
  protected ResponseHandler(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
    body = new BodyAccumulator(maxBodyBytes);
  }

  /** Handles a complete response, whose body is released after this method returns. */
  protected abstract void responseReceived(HttpResponse response, ByteBuf content);

  /**
   * Handles a malformed response or the end of the connection, which is not used any more. Called
   * once by this class.
   */
  protected abstract void connectionFailed();

  /** Returns whether a response may arrive now: one that belongs to no request is malformed. */
  protected abstract boolean expectsResponse();

  /**
   * Returns whether a response without a length is accepted once the peer has closed the connection
   * in an orderly way (FIN).
   */
  protected boolean acceptsResponseWithoutLength() {
    return false;
  }

  @Override
  protected final void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (failed) {
      return;
    }
    boolean malformed =
        !expectsResponse()
            || part.decoderResult().isFailure()
            || part instanceof HttpResponse response && !acceptHead(response);
    if (malformed) {
      fail();
    } else if (part instanceof HttpContent content) {
      addContent(context, content);
    }
  }

  /** Starts a response; returns false if its head alone shows that it is malformed. */
  private boolean acceptHead(HttpResponse response) {
    head = response;
    closeDelimited = acceptsResponseWithoutLength() && !isInformational() && hasNoLength(response);
    if (!isInformational()) {
      return closeDelimited || isFramed(response);
    }
    if (response.status().code() == STATUS_SWITCHING_PROTOCOLS) {
      return false;
    }
    informationalResponses++;
    return informationalResponses <= MAX_INFORMATIONAL_RESPONSES;
  }

  private void addContent(ChannelHandlerContext context, HttpContent content) {
    if (!isInformational() && !body.add(content.content())) {
      fail();
    } else if (content instanceof LastHttpContent) {
      if (closeDelimited && !isInputEnded(context)) {
        fail();
      } else {
        finish();
      }
    }
  }

  /**
   * Returns whether the peer ended its output (FIN). After a reset, an error or a close by this
   * node it is unknown whether the response is complete.
   */
  private static boolean isInputEnded(ChannelHandlerContext context) {
    return context.channel() instanceof TcpChannel channel && channel.isInputEnded();
  }

  private static boolean hasNoLength(HttpResponse response) {
    return !hasNoBody(response)
        && !response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
  }

  private static boolean hasNoBody(HttpResponse response) {
    int status = response.status().code();
    return status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
  }

  private boolean isInformational() {
    return head.status().code() < MIN_FINAL_STATUS;
  }

  /** Returns whether the head determines where the body ends, within the maximum size. */
  private boolean isFramed(HttpResponse response) {
    String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
    if (coding != null) {
      return coding.equalsIgnoreCase(HttpHeaderValues.CHUNKED.toString());
    }
    long length = HttpUtil.getContentLength(response, -1L);
    return length < 0 ? hasNoBody(response) : length <= maxBodyBytes;
  }

  private void finish() {
    HttpResponse response = head;
    if (isInformational()) {
      return;
    }
    head = null;
    informationalResponses = 0;
    ByteBuf content = body.take();
    try {
      responseReceived(response, content);
    } finally {
      content.release();
    }
  }

  private void fail() {
    if (!failed) {
      failed = true;
      head = null;
      body.take().release();
      connectionFailed();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException || cause instanceof DecoderException)) {
      ErrorLog.report("handling a response failed", cause);
    }
    fail();
  }
}
