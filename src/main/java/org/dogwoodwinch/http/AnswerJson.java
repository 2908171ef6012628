package org.dogwoodwinch.http;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Writes the JSON of one generated answer and its pieces.
 *
 * <p>Every piece of an answer has the same frame around its text, so the frame is encoded once and the text alone is
 * escaped for each token.
 */
final class AnswerJson {

    private final AnswerShape.Kind kind;
    private final byte[] pieceHead;
    private final String wholeHead;

    /**
     * Creates a writer.
     *
     * @param kind the interface that was called, not null
     * @param requestId names the request, not null
     * @param entry the entry's name, not null
     * @param createdSeconds when it arrived, in seconds of the time of day
     */
    AnswerJson(AnswerShape.Kind kind, String requestId, String entry, long createdSeconds) {
        this.kind = kind;
        this.pieceHead = utf8(head(kind, true, requestId, entry, createdSeconds));
        this.wholeHead = head(kind, false, requestId, entry, createdSeconds);
    }

    /**
     * Writes a piece with a token's text.
     *
     * @param text the text, not null
     * @param isFirst whether nothing went out before
     * @return the JSON
     */
    byte[] piece(String text, boolean isFirst) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(pieceHead.length + text.length() + 96);
        out.writeBytes(pieceHead);
        out.writeBytes(utf8(",\"choices\":[{\"index\":0,"));
        if (kind == AnswerShape.Kind.CHAT) {
            out.writeBytes(
                    utf8(isFirst ? "\"delta\":{\"role\":\"assistant\",\"content\":" : "\"delta\":{\"content\":"));
            writeQuoted(out, text);
            out.write('}');
        } else {
            out.writeBytes(utf8("\"text\":"));
            writeQuoted(out, text);
        }
        out.writeBytes(utf8(",\"finish_reason\":null}]}"));
        return out.toByteArray();
    }

    /**
     * Writes the last piece.
     *
     * @param finishReason why the answer ended, not null
     * @return the JSON
     */
    byte[] lastPiece(String finishReason) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(pieceHead);
        out.writeBytes(utf8(",\"choices\":[{\"index\":0,"));
        out.writeBytes(utf8(kind == AnswerShape.Kind.CHAT ? "\"delta\":{}" : "\"text\":\"\""));
        out.writeBytes(utf8(",\"finish_reason\":"));
        writeQuoted(out, finishReason);
        out.writeBytes(utf8("}]}"));
        return out.toByteArray();
    }

    /**
     * Writes the piece that holds the usage.
     *
     * @param usage what the answer cost, not null
     * @return the JSON
     */
    byte[] usagePiece(TokenUsage usage) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(pieceHead);
        out.writeBytes(utf8(",\"choices\":[],\"usage\":" + usageJson(usage) + "}"));
        return out.toByteArray();
    }

    /**
     * Writes a whole answer.
     *
     * @param text its text, not null
     * @param usage what it cost, not null
     * @param finishReason why it ended, not null
     * @return the JSON
     */
    byte[] whole(String text, TokenUsage usage, String finishReason) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(utf8(wholeHead + ",\"choices\":[{\"index\":0,"));
        if (kind == AnswerShape.Kind.CHAT) {
            out.writeBytes(utf8("\"message\":{\"role\":\"assistant\",\"content\":"));
            writeQuoted(out, text);
            out.write('}');
        } else {
            out.writeBytes(utf8("\"text\":"));
            writeQuoted(out, text);
        }
        out.writeBytes(utf8(",\"finish_reason\":"));
        writeQuoted(out, finishReason);
        out.writeBytes(utf8("}],\"usage\":" + usageJson(usage) + "}"));
        return out.toByteArray();
    }

    private static String head(
            AnswerShape.Kind kind, boolean stream, String requestId, String entry, long createdSeconds) {
        return "{\"id\":" + quoted(kind.idPrefix() + requestId) + ",\"object\":" + quoted(kind.objectName(stream))
                + ",\"created\":" + createdSeconds + ",\"model\":" + quoted(entry);
    }

    private static String usageJson(TokenUsage usage) {
        return "{\"prompt_tokens\":" + usage.promptTokens() + ",\"completion_tokens\":" + usage.completionTokens()
                + ",\"total_tokens\":" + (usage.promptTokens() + usage.completionTokens())
                + ",\"prompt_tokens_details\":{\"cached_tokens\":" + usage.cachedPromptTokens() + "}}";
    }

    private static void writeQuoted(ByteArrayOutputStream out, String text) {
        out.write('"');
        out.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(text));
        out.write('"');
    }

    private static String quoted(String text) {
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
