package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes one answer for each question and the interim heads before it, and drops the bytes that follow an answer.
 *
 * <p>Failure: a server sends an answer twice, the second time not whole. The decoder keeps what has arrived of it, and
 * reads it and the answer to the next question as one.
 */
final class ControlResponseDecoder extends HttpResponseDecoder {

    private boolean answerExpected;
    private long bytesAfterAnswer;

    ControlResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(ReceiveLimits.MAX_LINE_BYTES)
                .setMaxHeaderSize(ReceiveLimits.MAX_HEADER_BYTES)
                .setStrictLineParsing(true));
    }

    /** Lets the decoder read one answer. */
    void expectAnswer() {
        answerExpected = true;
    }

    /** Returns the number of bytes that followed answers and were dropped. */
    long bytesAfterAnswer() {
        return bytesAfterAnswer;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (!answerExpected) {
            bytesAfterAnswer += input.readableBytes();
            input.skipBytes(input.readableBytes());
            return;
        }
        super.decode(context, input, output);
        // Each step of the superclass adds at most one part of a message, or a head with the end of an empty body.
        if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent) {
            answerExpected = isInterim(output.get(0));
        }
    }

    /** An interim head has no body, so that its end is added with it. */
    private static boolean isInterim(Object part) {
        return part instanceof HttpResponse head && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Refuses a message with both framings, since it is unknown which one the sender meant. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("message has both Content-Length and Transfer-Encoding: chunked");
    }
}
