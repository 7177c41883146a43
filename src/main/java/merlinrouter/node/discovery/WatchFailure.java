package merlinrouter.node.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.logging.ErrorLog;

/** Closes a watch after an error. */
final class WatchFailure {
  private WatchFailure() {}

  /**
   * Reports an error and closes the watch. The report of a decoding error omits the text that could
   * not be decoded, which may be a megabyte long.
   */
  static void closeAfter(ChannelHandlerContext context, Throwable cause) {
    if (context.channel().isOpen()) {
      boolean undecodable =
          cause instanceof DecoderException
              && !(cause.getCause() instanceof InvalidConfigException);
      ErrorLog.report(
          "discovery",
          undecodable
              ? new InvalidConfigException("the endpoint list is malformed or too long")
              : cause);
    }
    context.close();
  }
}
