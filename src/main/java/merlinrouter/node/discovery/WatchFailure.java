package merlinrouter.node.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutException;
import merlinrouter.node.config.InvalidConfigException;
import merlinrouter.node.logging.ErrorLog;

/** Ends a watch because of an error. */
final class WatchFailure {
  private WatchFailure() {}

  /**
   * Reports an error and closes the watch. A silence is not reported: it is usual while discovery
   * is down. Neither is the text that could not be decoded: it may have a megabyte.
   */
  static void closeAfter(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof ReadTimeoutException) && context.channel().isOpen()) {
      boolean undecodable =
          cause instanceof DecoderException
              && !(cause.getCause() instanceof InvalidConfigException);
      ErrorLog.report(
          "discovery", undecodable ? new InvalidConfigException("malformed endpoint list") : cause);
    }
    context.close();
  }
}
