package org.dogwoodwinch.request;

import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Usage;

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

    KeptAnswer toStoredAnswer(Usage usage, String finishReason) {
        if (totalChars > maxBytes) {
            return new KeptAnswer.TooLong(totalChars);
        }
        return bounded(new KeptAnswer.Generated(text.toString(), usage, finishReason));
    }

    KeptAnswer toStoredAnswer(ServiceAnswer answer) {
        return bounded(new KeptAnswer.Service(answer));
    }

    private KeptAnswer bounded(KeptAnswer answer) {
        return answer.answerBytes() > maxBytes ? new KeptAnswer.TooLong(answer.answerBytes()) : answer;
    }
}
