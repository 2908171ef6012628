package org.dogwoodwinch.measure;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.dogwoodwinch.standin.StandInText;

/** Sends requests, so many at once, and checks each answer against its own prompt. Thread-safe. */
final class PathLoad {

    private static final long LONGEST_NANOS = 600_000_000_000L;
    private static final int DIGITS = 3;

    private final PathCaller caller;
    private final String name;
    private final int answerTokens;
    private final int maxTokens;
    private final Histogram firstToken = new ConcurrentHistogram(LONGEST_NANOS, DIGITS);
    private final Histogram total = new ConcurrentHistogram(LONGEST_NANOS, DIGITS);
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger right = new AtomicInteger();
    private final AtomicInteger crossed = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private volatile String example = "";

    /**
     * Creates a load.
     *
     * @param caller sends, not null
     * @param name begins each prompt, so that no other load has the same ones, not null
     * @param answerTokens tokens of each answer
     * @param maxTokens the most tokens that the caller asks for
     */
    PathLoad(PathCaller caller, String name, int answerTokens, int maxTokens) {
        this.caller = caller;
        this.name = name;
        this.answerTokens = answerTokens;
        this.maxTokens = maxTokens;
    }

    /**
     * Sends requests and waits for their answers.
     *
     * @param count how many
     * @param concurrent how many at once
     */
    void run(int count, int concurrent) {
        AtomicInteger left = new AtomicInteger(count);
        CompletableFuture<?>[] lanes = new CompletableFuture<?>[concurrent];
        for (int i = 0; i < concurrent; i++) {
            lanes[i] = new CompletableFuture<Void>();
            CompletableFuture<?> lane = lanes[i];
            sendNext(left, lane);
        }
        CompletableFuture.allOf(lanes).join();
    }

    /** Returns the times to the first token. */
    Histogram firstToken() {
        return firstToken;
    }

    /** Returns the times to the end. */
    Histogram total() {
        return total;
    }

    /** Returns how many answers were their own prompt's, byte for byte. */
    int right() {
        return right.get();
    }

    /** Returns how many answers were another prompt's. */
    int crossed() {
        return crossed.get();
    }

    /** Returns how many answers were cut, refused or otherwise wrong. */
    int wrong() {
        return wrong.get();
    }

    /** Returns one answer that was not right; empty where there is none. */
    String example() {
        return example;
    }

    private void sendNext(AtomicInteger left, CompletableFuture<?> lane) {
        if (left.getAndDecrement() <= 0) {
            lane.complete(null);
            return;
        }
        String id = name + "-" + sent.incrementAndGet();
        String prompt = id + " [tokens=" + answerTokens + "]";
        caller.send(id, prompt).whenComplete((answer, failure) -> {
            note(prompt, failure == null ? answer : new PathAnswer(false, failure.toString(), 0, 0));
            sendNext(left, lane);
        });
    }

    private void note(String prompt, PathAnswer answer) {
        if (answer.whole() && answer.text().equals(StandInText.answer(prompt, maxTokens))) {
            right.incrementAndGet();
            firstToken.recordValue(Math.min(answer.firstTokenNanos(), LONGEST_NANOS));
            total.recordValue(Math.min(answer.totalNanos(), LONGEST_NANOS));
            return;
        }
        example = answer.text();
        if (answer.whole() && answersAnother(answer.text())) {
            crossed.incrementAndGet();
        } else {
            wrong.incrementAndGet();
        }
    }

    private boolean answersAnother(String text) {
        for (int i = 1; i <= sent.get(); i++) {
            String prompt = name + "-" + i + " [tokens=" + answerTokens + "]";
            if (text.startsWith(StandInText.token(prompt, 0))) {
                return true;
            }
        }
        return false;
    }
}
