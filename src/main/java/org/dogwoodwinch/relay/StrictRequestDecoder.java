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
 * Decodes requests and refuses whatever a target might frame in another way.
 *
 * <p>Failure: a request whose end two readers see in two places smuggles a second one past this system.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_PIECE_BYTES = 65_536;

    private boolean inHead = true;
    private boolean afterLine;
    private boolean folded;
    private final StringBuilder firstLine = new StringBuilder();
    private boolean firstLineDone;

    StrictRequestDecoder(CallerLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxChunkSize(MAX_PIECE_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
    }

    /**
     * Fails a head in which a line goes on in the next one: the decoder joins the two, other readers drop or refuse them.
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        boolean wasInHead = inHead;
        int from = buffer.readerIndex();
        int known = out.size();
        super.decode(context, buffer, out);
        if (wasInHead) {
            look(buffer, from, buffer.readerIndex());
        }
        for (Object decoded : out.subList(known, out.size())) {
            note(decoded);
        }
    }

    private void look(ByteBuf buffer, int from, int to) {
        for (int i = from; i < to; i++) {
            byte next = buffer.getByte(i);
            noteFirstLine(next);
            folded |= afterLine && (next == ' ' || next == '\t');
            afterLine = next == '\n';
        }
    }

    /** Empty lines before a request are passed over, as other servers do. */
    private void noteFirstLine(byte next) {
        if (firstLineDone) {
            return;
        }
        if (next == '\n') {
            firstLineDone = firstLine.length() > 0;
        } else if (next != '\r') {
            firstLine.append((char) (next & 0xff));
        }
    }

    /** The decoder takes several spaces and control characters where one space stands; others may not. */
    private boolean readAsWritten(HttpRequest request) {
        String expected = request.method().name() + " " + request.uri() + " "
                + request.protocolVersion().text();
        return expected.contentEquals(firstLine);
    }

    private void note(Object decoded) {
        if (decoded instanceof HttpRequest request) {
            inHead = false;
            if (request.decoderResult().isSuccess() && (folded || !readAsWritten(request))) {
                request.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("ambiguous head")));
            }
            folded = false;
            afterLine = false;
            firstLine.setLength(0);
            firstLineDone = false;
        }
        if (decoded instanceof LastHttpContent) {
            inHead = true;
        }
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
