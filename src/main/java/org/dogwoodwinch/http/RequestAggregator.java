package org.dogwoodwinch.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;

/** Collects a request's body up to the bound; a longer one is refused by the last handler as problem JSON. */
final class RequestAggregator extends HttpObjectAggregator {

    /**
     * Creates an aggregator for one connection.
     *
     * @param maxBodyBytes the longest body
     */
    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** A body that is too long by its own word is refused below; telling its sender to go on would only cost both. */
    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        return isContentLengthInvalid(start, maxContentLength)
                ? null
                : super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage _oversized) {
        context.fireUserEventTriggered(new EdgeRefusal(Refusal.notRun(
                RefusalReason.BODY_TOO_LARGE, "the body is longer than " + maxContentLength() + " bytes", 0)));
    }
}
