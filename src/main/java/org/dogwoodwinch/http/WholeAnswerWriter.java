package org.dogwoodwinch.http;

import io.netty.channel.Channel;
import java.util.Objects;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.TokenUsage;

/** Collects an answer and writes it in one piece. */
final class WholeAnswerWriter implements AnswerWriter {

    private static final int OK = 200;

    private final Channel channel;
    private final AnswerJson json;
    private final ReplyContext reply;
    private final StringBuilder text = new StringBuilder();

    /**
     * Creates a writer.
     *
     * @param channel the caller's connection, not null
     * @param json writes the answer, not null
     * @param reply what every answer to this request carries, not null
     */
    WholeAnswerWriter(Channel channel, AnswerJson json, ReplyContext reply) {
        this.channel = Objects.requireNonNull(channel, "channel");
        this.json = Objects.requireNonNull(json, "json");
        this.reply = Objects.requireNonNull(reply, "reply");
    }

    @Override
    public void chunk(AnswerChunk chunk) {
        text.append(chunk.text());
    }

    @Override
    public void complete(TokenUsage usage, String finishReason) {
        reply.writeWhole(channel, Replies.of(OK, Replies.JSON, json.whole(text.toString(), usage, finishReason)));
    }

    @Override
    public void refuse(Refusal refusal) {
        reply.writeWhole(channel, Replies.refusal(refusal, reply.requestId()));
    }

    @Override
    public boolean hasStarted() {
        return false;
    }
}
