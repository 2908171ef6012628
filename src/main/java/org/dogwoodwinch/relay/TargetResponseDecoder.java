package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, knowing whether the call was one whose answer has no body whatever its headers say. */
final class TargetResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private boolean withoutBody;

    TargetResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setStrictLineParsing(true));
    }

    void expectWithoutBody(boolean responseWithoutBody) {
        withoutBody = responseWithoutBody;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }

    /** A message with both is framed in two ways: which one its sender meant cannot be known. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
