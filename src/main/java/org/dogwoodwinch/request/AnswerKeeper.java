package org.dogwoodwinch.request;

import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Usage;

/** Gathers an answer for the log, up to a bound: beyond it only the length is kept. Not thread-safe. */
final class AnswerKeeper {

    private final int maxBytes;
    private final StringBuilder text = new StringBuilder();
    private long chars;

    AnswerKeeper(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    void add(String piece) {
        chars += piece.length();
        if (chars <= maxBytes) {
            text.append(piece);
        }
    }

    KeptAnswer keep(Usage usage, String finishReason) {
        if (chars > maxBytes) {
            return new KeptAnswer.TooLong(chars);
        }
        return bounded(new KeptAnswer.Generated(text.toString(), usage, finishReason));
    }

    KeptAnswer keep(ServiceAnswer answer) {
        return bounded(new KeptAnswer.Service(answer));
    }

    private KeptAnswer bounded(KeptAnswer answer) {
        return answer.answerBytes() > maxBytes ? new KeptAnswer.TooLong(answer.answerBytes()) : answer;
    }
}
