package merlinrouter.node.discovery;

import io.netty.channel.ChannelHandlerContext;
import merlinrouter.node.logging.ErrorLog;

/** Closes a watch after an error. */
final class WatchFailure {
  private WatchFailure() {}

  /** Reports an error and closes the watch; an error of a watch that is closed is not reported. */
  static void closeAfter(ChannelHandlerContext context, Throwable cause) {
    if (context.channel().isOpen()) {
      ErrorLog.report("discovery", cause);
    }
    context.close();
  }
}
