package org.dogwoodwinch.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.dogwoodwinch.target.AnswerChunk;

/**
 * How far one answer has gone out to its caller, and what of an incoming chunk is new.
 *
 * <p>While one stream is read, token sequence numbers decide. When a repeatable request runs again from the start on
 * another target, what went out already is withheld, and only if the new run begins with exactly the same text: an
 * answer sewn together from two different runs would look whole and be nobody's answer. Only a hash and a length of the
 * delivered text are kept, so that long answers cost no memory. Not thread-safe.
 */
final class AnswerProgress {

    /** What to do with a chunk. */
    enum Verdict {
        /** It is the next piece: {@link #pendingChunk()} holds what to deliver. */
        DELIVER,
        /** The caller has it already. */
        SKIP,
        /** Something before it is missing. */
        GAP,
        /** The new run's text differs from what went out. */
        DIVERGED
    }

    private long nextSequence;
    private long deliveredChars;
    private Hasher deliveredHasher = Hashing.sha256().newHasher();
    private boolean replaying;
    private long replaySequence;
    private long replayChars;
    /** Compared with {@link #deliveredHasher}; computing its hash uses it up, so a twin goes on after the comparison. */
    private Hasher replayedHasher = Hashing.sha256().newHasher();

    private Hasher replayedHasherCopy = Hashing.sha256().newHasher();
    private AnswerChunk pendingChunk;

    long deliveredTokens() {
        return nextSequence;
    }

    boolean isReplaying() {
        return replaying;
    }

    /** Returns the sequence number wanted next from the stream that is being read. */
    long nextExpectedSequence() {
        return replaying ? replaySequence : nextSequence;
    }

    AnswerChunk pendingChunk() {
        return pendingChunk;
    }

    /** A new run starts at token zero. */
    void restart() {
        replaying = deliveredChars > 0;
        replaySequence = 0;
        replayChars = 0;
        replayedHasher = Hashing.sha256().newHasher();
        replayedHasherCopy = Hashing.sha256().newHasher();
    }

    Verdict accept(AnswerChunk chunk) {
        long expected = nextExpectedSequence();
        if (chunk.sequence() > expected) {
            return Verdict.GAP;
        }
        if (chunk.sequence() < expected) {
            return chunk.sequence() + chunk.tokens() <= expected ? Verdict.SKIP : Verdict.GAP;
        }
        return replaying ? acceptReplayed(chunk) : deliver(chunk, chunk.text());
    }

    private Verdict acceptReplayed(AnswerChunk chunk) {
        replaySequence += chunk.tokens();
        long remainingChars = deliveredChars - replayChars;
        int withheld = (int) Math.min(remainingChars, chunk.text().length());
        String prefix = chunk.text().substring(0, withheld);
        replayedHasher.putUnencodedChars(prefix);
        replayedHasherCopy.putUnencodedChars(prefix);
        replayChars += withheld;
        if (replayChars < deliveredChars) {
            return Verdict.SKIP;
        }
        return finishReplay(chunk, chunk.text().substring(withheld));
    }

    private Verdict finishReplay(AnswerChunk chunk, String rest) {
        if (!deliveredHasher.hash().equals(replayedHasher.hash())) {
            return Verdict.DIVERGED;
        }
        deliveredHasher = replayedHasherCopy;
        replaying = false;
        int newTokens = (int) Math.max(1, replaySequence - nextSequence);
        if (rest.isEmpty()) {
            nextSequence = replaySequence;
            return Verdict.SKIP;
        }
        Verdict verdict = deliver(new AnswerChunk(chunk.attemptId(), nextSequence, newTokens, rest), rest);
        nextSequence = replaySequence;
        return verdict;
    }

    private Verdict deliver(AnswerChunk chunk, String text) {
        deliveredHasher.putUnencodedChars(text);
        deliveredChars += text.length();
        pendingChunk = new AnswerChunk(chunk.attemptId(), nextSequence, chunk.tokens(), text);
        nextSequence += chunk.tokens();
        return Verdict.DELIVER;
    }
}
