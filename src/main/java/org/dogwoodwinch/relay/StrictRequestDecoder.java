package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.dogwoodwinch.forwarding.CallerLimits;

/**
 * Decodes requests and refuses whatever a target might frame in another way.
 *
 * <p>Failure: a request whose end two readers see in two places smuggles a second one past this system.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_PIECE_BYTES = 65_536;

    StrictRequestDecoder(CallerLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_PIECE_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
    }

    /** Whether bytes wait that are no whole head yet. */
    boolean holdsBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
