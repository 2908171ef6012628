package org.dogwoodwinch.standin.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.RefusalBody;
import org.dogwoodwinch.target.http.TargetJson;

/** Writes the answer to one call to a stand-in; may be used from any thread, by one at a time. */
final class StandInReply {

    private static final int OK = 200;

    private final Channel channel;
    private boolean streaming;

    /**
     * Creates a reply.
     *
     * @param channel the connection, not null
     */
    StandInReply(Channel channel) {
        this.channel = Objects.requireNonNull(channel, "channel");
    }

    /**
     * Returns the connection.
     *
     * @return the connection
     */
    Channel channel() {
        return channel;
    }

    /**
     * Answers with JSON and status 200.
     *
     * @param value what is written as JSON, not null
     */
    void json(Object value) {
        whole(OK, HttpCaller.JSON, TargetJson.write(value));
    }

    /**
     * Refuses, saying that nothing ran.
     *
     * @param refusal the refusal, not null
     */
    void refuse(RefusalBody refusal) {
        whole(refusal.status(), RefusalBody.MEDIA_TYPE, TargetJson.write(refusal));
    }

    /**
     * Answers.
     *
     * @param status the HTTP status
     * @param contentType the body's media type, not null
     * @param content the body, not null
     */
    void whole(int status, String contentType, byte[] content) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        Channels.writeAndFlush(channel, response);
    }

    /**
     * Writes a line of a stream, the stream's head before the first one.
     *
     * @param json the line without its end, not null
     */
    void line(byte[] json) {
        startStream();
        ByteBuf content = channel.alloc().buffer(json.length + 1);
        content.writeBytes(json).writeByte('\n');
        Channels.writeAndFlush(channel, new DefaultHttpContent(content));
    }

    /** Ends a stream. */
    void end() {
        Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Breaks the connection off. */
    void cut() {
        Channels.close(channel);
    }

    /**
     * Says whether a stream has begun.
     *
     * @return true after the first line
     */
    boolean isStreaming() {
        return streaming;
    }

    private void startStream() {
        if (streaming) {
            return;
        }
        streaming = true;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        Channels.write(channel, response);
    }
}
