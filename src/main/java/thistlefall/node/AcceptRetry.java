package thistlefall.node;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a listening socket accepting after an accept has failed. The library's own handler stops for a second, in which
 * the requests of all who have connected run out of time. The pause here only keeps a lasting failure, such as a full
 * table of descriptors, from taking all of the event loop.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    /** Small against the least time that a client waits. */
    private static final long PAUSE_MS = 10;

    private final NodeLog log;
    private boolean failing;

    AcceptRetry(NodeLog log) {
        this.log = log;
    }

    /** Whether the last accept failed and has not been tried again. */
    boolean isFailing() {
        return failing;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        log.count(NodeLog.Event.ACCEPT_FAILED);
        failing = true;
        context.channel().config().setAutoRead(false);
        context.channel().eventLoop().schedule(() -> {
            failing = false;
            context.channel().config().setAutoRead(true);
        }, PAUSE_MS, TimeUnit.MILLISECONDS);
    }
}
