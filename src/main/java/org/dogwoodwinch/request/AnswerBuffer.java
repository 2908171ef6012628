package org.dogwoodwinch.request;

import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Collects the answer of one request for storage on the log. Once the answer exceeds the size limit, only its length is
 * stored. Not thread-safe.
 */
final class AnswerBuffer {

    private final int maxBytes;
    private final StringBuilder text = new StringBuilder();
    private long totalChars;

    AnswerBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    void append(String piece) {
        totalChars += piece.length();
        if (totalChars <= maxBytes) {
            text.append(piece);
        }
    }

    StoredAnswer toStoredAnswer(TokenUsage usage, String finishReason) {
        if (totalChars > maxBytes) {
            return new StoredAnswer.TooLong(totalChars);
        }
        return bounded(new StoredAnswer.Generated(text.toString(), usage, finishReason));
    }

    StoredAnswer toStoredAnswer(ServiceAnswer answer) {
        return bounded(new StoredAnswer.Service(answer));
    }

    private StoredAnswer bounded(StoredAnswer answer) {
        return answer.answerBytes() > maxBytes ? new StoredAnswer.TooLong(answer.answerBytes()) : answer;
    }
}
