package org.dogwoodwinch.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Writes an answer as server-sent events.
 *
 * <p>The status goes out with the first token, so that a refusal before it still has a status of its own. A refusal after
 * it is an {@code error} event, and the stream ends without {@code [DONE]}: a reader that misses the event still cannot
 * take the answer for whole.
 */
final class StreamedAnswerWriter implements AnswerWriter {

    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ERROR = "event: error\ndata: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private final Channel channel;
    private final AnswerJson json;
    private final ReplyContext reply;
    private final boolean includeUsage;
    private boolean started;

    /**
     * Creates a writer.
     *
     * @param channel the caller's connection, not null
     * @param json writes the pieces, not null
     * @param reply what every answer to this request carries, not null
     * @param includeUsage whether the usage goes out
     */
    StreamedAnswerWriter(Channel channel, AnswerJson json, ReplyContext reply, boolean includeUsage) {
        this.channel = Objects.requireNonNull(channel, "channel");
        this.json = Objects.requireNonNull(json, "json");
        this.reply = Objects.requireNonNull(reply, "reply");
        this.includeUsage = includeUsage;
    }

    @Override
    public void chunk(AnswerChunk chunk) {
        boolean isFirst = !started;
        start();
        writeEvent(DATA, json.piece(chunk.text(), isFirst));
        channel.flush();
    }

    @Override
    public void complete(TokenUsage usage, String finishReason) {
        start();
        writeEvent(DATA, json.lastPiece(finishReason));
        if (includeUsage) {
            writeEvent(DATA, json.usagePiece(usage));
        }
        writeEvent(DATA, DONE);
        Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void refuse(Refusal refusal) {
        if (!started) {
            reply.writeWhole(channel, Replies.refusal(refusal, reply.requestId()));
            return;
        }
        writeEvent(ERROR, EdgeJson.write(StreamError.of(Problem.of(refusal, reply.requestId()))));
        Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public boolean hasStarted() {
        return started;
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream; charset=utf-8");
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
        reply.addHeaders(response);
        if (reply.chunked()) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        Channels.write(channel, response);
    }

    private void writeEvent(byte[] head, byte[] content) {
        ByteBuf event = channel.alloc().buffer(head.length + content.length + END.length);
        event.writeBytes(head).writeBytes(content).writeBytes(END);
        Channels.write(channel, new DefaultHttpContent(event));
    }

    /**
     * An error in the shape that language-model clients know, with the problem beside it.
     *
     * @param error the shape that clients know
     * @param problem the problem
     */
    record StreamError(ClientError error, Problem problem) {

        /**
         * Makes the error of a problem.
         *
         * @param problem the problem, not null
         * @return the error
         */
        static StreamError of(Problem problem) {
            return new StreamError(new ClientError(problem.detail(), problem.reason(), problem.status()), problem);
        }
    }

    /**
     * The part that language-model clients read.
     *
     * @param message a sentence for people
     * @param type the reason
     * @param code the HTTP status that the refusal would have had
     */
    record ClientError(String message, String type, int code) {}
}
