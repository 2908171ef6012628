package org.dogwoodwinch.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.dogwoodwinch.target.AnswerChunk;

/**
 * Tracks how much of one answer has been delivered to the caller and determines which part of an incoming chunk is new.
 *
 * <p>Within one stream, token sequence numbers identify what is new. When a repeatable request is rerun from the start
 * on another target, the text that was already delivered is skipped, but only if the new run begins with exactly the
 * same text: an answer combined from two different runs would look complete although neither run produced it. Only a
 * hash and the length of the delivered text are stored, so that memory use does not grow with the answer. Not
 * thread-safe.
 */
final class AnswerProgress {

    /** How to handle a received chunk. */
    enum Verdict {
        /** The chunk continues the answer; {@link #pendingChunk()} holds the part to deliver. */
        DELIVER,
        /** The caller already received the chunk. */
        SKIP,
        /** At least one token before the chunk is missing, or the chunk overlaps delivered tokens only partly. */
        GAP,
        /** The text of the new run differs from the text that was delivered. */
        DIVERGED
    }

    private long nextSequence;
    private long deliveredChars;
    private Hasher deliveredHasher = Hashing.sha256().newHasher();
    private boolean replaying;
    private long replaySequence;
    private long replayChars;
    /**
     * Hashes the rerun's prefix for the comparison with {@link #deliveredHasher}. A Hasher cannot be used after its
     * hash is computed, so a copy that was fed the same text continues after the comparison.
     */
    private Hasher replayedHasher = Hashing.sha256().newHasher();

    private Hasher replayedHasherCopy = Hashing.sha256().newHasher();
    private AnswerChunk pendingChunk;

    long deliveredTokens() {
        return nextSequence;
    }

    boolean isReplaying() {
        return replaying;
    }

    /** Returns the next sequence number that is expected from the stream being read. */
    long nextExpectedSequence() {
        return replaying ? replaySequence : nextSequence;
    }

    AnswerChunk pendingChunk() {
        return pendingChunk;
    }

    /** Prepares for a rerun that starts at token zero. */
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
