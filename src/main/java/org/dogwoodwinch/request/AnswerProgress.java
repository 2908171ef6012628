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
        /** It is the next piece: {@link #pending()} holds what to deliver. */
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
    private Hasher delivered = Hashing.sha256().newHasher();
    private boolean replaying;
    private long replaySequence;
    private long replayChars;
    /** Compared with {@link #delivered}; computing its hash uses it up, so a twin goes on after the comparison. */
    private Hasher replayed = Hashing.sha256().newHasher();

    private Hasher replayedTwin = Hashing.sha256().newHasher();
    private AnswerChunk pending;

    long delivered() {
        return nextSequence;
    }

    boolean replaying() {
        return replaying;
    }

    /** Returns the sequence number wanted next from the stream that is being read. */
    long nextWanted() {
        return replaying ? replaySequence : nextSequence;
    }

    AnswerChunk pending() {
        return pending;
    }

    /** A new run starts at token zero. */
    void startAgain() {
        replaying = deliveredChars > 0;
        replaySequence = 0;
        replayChars = 0;
        replayed = Hashing.sha256().newHasher();
        replayedTwin = Hashing.sha256().newHasher();
    }

    Verdict accept(AnswerChunk chunk) {
        long wanted = nextWanted();
        if (chunk.sequence() > wanted) {
            return Verdict.GAP;
        }
        if (chunk.sequence() < wanted) {
            return chunk.sequence() + chunk.tokens() <= wanted ? Verdict.SKIP : Verdict.GAP;
        }
        return replaying ? acceptReplayed(chunk) : deliver(chunk, chunk.text());
    }

    private Verdict acceptReplayed(AnswerChunk chunk) {
        replaySequence += chunk.tokens();
        long missingChars = deliveredChars - replayChars;
        int withheld = (int) Math.min(missingChars, chunk.text().length());
        String prefix = chunk.text().substring(0, withheld);
        replayed.putUnencodedChars(prefix);
        replayedTwin.putUnencodedChars(prefix);
        replayChars += withheld;
        if (replayChars < deliveredChars) {
            return Verdict.SKIP;
        }
        return finishReplay(chunk, chunk.text().substring(withheld));
    }

    private Verdict finishReplay(AnswerChunk chunk, String rest) {
        if (!delivered.hash().equals(replayed.hash())) {
            return Verdict.DIVERGED;
        }
        delivered = replayedTwin;
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
        delivered.putUnencodedChars(text);
        deliveredChars += text.length();
        pending = new AnswerChunk(chunk.attemptId(), nextSequence, chunk.tokens(), text);
        nextSequence += chunk.tokens();
        return Verdict.DELIVER;
    }
}
