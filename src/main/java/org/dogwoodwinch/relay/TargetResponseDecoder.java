package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Decodes responses of targets, including those without a body whatever their headers state, as for HEAD requests.
 *
 * <p>Failure: the beginning of a second response arrives in the same read as the end of the first one and stays in the
 * decoder. The response to the next call is then read as its continuation. So bytes that arrive while no call waits for a
 * response are dropped and reported, also those behind a complete response.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private final BooleanSupplier expectsBytes;
    private final Runnable onStrayBytes;
    private final Predicate<HttpResponse> isWithoutBody;

    /**
     * Creates a decoder.
     *
     * @param expectsBytes returns whether a call waits for a response or its rest, not null
     * @param onStrayBytes run when bytes arrive while none does, not null
     * @param isWithoutBody receives each head with all its fields, before the decoder removes those that contradict the
     *     framing, and returns whether its response has no body whatever they state, not null
     */
    TargetResponseDecoder(BooleanSupplier expectsBytes, Runnable onStrayBytes, Predicate<HttpResponse> isWithoutBody) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(ReceiveLimits.MAX_LINE_BYTES)
                .setMaxHeaderSize(ReceiveLimits.MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setStrictLineParsing(true));
        this.expectsBytes = Objects.requireNonNull(expectsBytes, "expectsBytes");
        this.onStrayBytes = Objects.requireNonNull(onStrayBytes, "onStrayBytes");
        this.isWithoutBody = Objects.requireNonNull(isWithoutBody, "isWithoutBody");
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) throws Exception {
        if (expectsBytes.getAsBoolean()) {
            super.decode(context, input, output);
        } else if (input.isReadable()) {
            input.skipBytes(input.readableBytes());
            onStrayBytes.run();
        }
    }

    /**
     * Refuses other versions, since the text before a status line would else become a part of its protocol's name, and
     * statuses that are not three digits of the protocol.
     *
     * <p>Failure: the status is read as a number, and 0200 passes for 200, or 000 for the answer to a control call.
     */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("not a status: " + initialLine[1]);
        }
        HttpMessage message = super.createMessage(initialLine);
        HttpVersion version = message.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            throw new IllegalArgumentException("unsupported version: " + version);
        }
        return message;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isWithoutBody.test((HttpResponse) message) || super.isContentAlwaysEmpty(message);
    }

    /** Refuses a message with both framings, since it is unknown which one the sender meant. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("message has both Content-Length and Transfer-Encoding: chunked");
    }
}
