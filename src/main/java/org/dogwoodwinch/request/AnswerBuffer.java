package org.dogwoodwinch.request;

import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Usage;

/** Gathers an answer for the log, up to a bound: beyond it only the length is kept. Not thread-safe. */
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
