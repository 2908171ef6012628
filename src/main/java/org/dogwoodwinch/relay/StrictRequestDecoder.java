package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import org.dogwoodwinch.forwarding.CallerLimits;

/**
 * Decodes requests and refuses those that a target might frame differently.
 *
 * <p>Failure: if two parsers see the end of a request at different positions, a caller can hide a second request in it
 * (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_CHUNK_BYTES = 65_536;

    private final int maxHeaderBytes;
    private boolean inHead = true;
    private boolean atLineStart;
    private boolean hasFoldedLine;
    private final StringBuilder firstLine = new StringBuilder();
    private boolean firstLineDone;

    StrictRequestDecoder(CallerLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.maxHeaderBytes = limits.maxHeaderBytes();
    }

    /** Returns the maximum size of a request line and header block. */
    int maxHeaderBytes() {
        return maxHeaderBytes;
    }

    /**
     * Refuses a head with a folded line. The decoder joins the two lines, while other parsers drop or refuse them.
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        boolean wasInHead = inHead;
        int start = buffer.readerIndex();
        int decodedBefore = out.size();
        super.decode(context, buffer, out);
        if (wasInHead) {
            scanHead(buffer, start, buffer.readerIndex());
        }
        for (Object decoded : out.subList(decodedBefore, out.size())) {
            checkDecoded(decoded);
        }
    }

    private void scanHead(ByteBuf buffer, int start, int end) {
        for (int i = start; i < end; i++) {
            byte next = buffer.getByte(i);
            recordFirstLine(next);
            hasFoldedLine |= atLineStart && (next == ' ' || next == '\t');
            atLineStart = next == '\n';
        }
    }

    /** Records the request line. Empty lines before it are skipped, as other servers do. */
    private void recordFirstLine(byte next) {
        if (firstLineDone) {
            return;
        }
        if (next == '\n') {
            firstLineDone = firstLine.length() > 0;
        } else if (next != '\r') {
            firstLine.append((char) (next & 0xff));
        }
    }

    /**
     * Returns whether the request line has single spaces between its parts. The decoder also accepts several spaces or
     * control characters there, which other parsers may not.
     */
    private boolean requestLineMatches(HttpRequest request) {
        String expected = request.method().name() + " " + request.uri() + " "
                + request.protocolVersion().text();
        return expected.contentEquals(firstLine);
    }

    private void checkDecoded(Object decoded) {
        if (decoded instanceof HttpRequest request) {
            inHead = false;
            if (request.decoderResult().isSuccess() && (hasFoldedLine || !requestLineMatches(request))) {
                request.setDecoderResult(DecoderResult.failure(
                        new IllegalArgumentException("ambiguous request head: folded line or irregular request line")));
            }
            hasFoldedLine = false;
            atLineStart = false;
            firstLine.setLength(0);
            firstLineDone = false;
        }
        if (decoded instanceof LastHttpContent) {
            inHead = true;
        }
    }

    /** Returns whether bytes are buffered that do not form a complete head yet. */
    boolean hasBufferedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("message has both Content-Length and Transfer-Encoding: chunked");
    }
}
