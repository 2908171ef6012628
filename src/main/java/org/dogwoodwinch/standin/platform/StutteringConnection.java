package org.dogwoodwinch.standin.platform;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import org.dogwoodwinch.time.TimeSource;

/**
 * A connection to a stand-in target that sends some of its answers a second time. Between the begin and the end of an
 * answer nothing else is written. Used on one event loop alone.
 */
final class StutteringConnection implements StandInHandler {

    private static final byte[] NOTHING = new byte[0];

    private final StandInHandler target;
    private final Stutter stutter;
    private final TimeSource time;
    private final Queue<SecondAnswer> atNextRequest = new ArrayDeque<>();
    private final Queue<SecondAnswer> withNextAnswer = new ArrayDeque<>();
    private final Queue<SecondAnswer> afterThisAnswer = new ArrayDeque<>();
    private boolean answering;

    /**
     * Creates the handler of one connection.
     *
     * @param target answers the requests, not null
     * @param stutter decides which answers are sent a second time, not null
     * @param time delays them, not null
     */
    StutteringConnection(StandInHandler target, Stutter stutter, TimeSource time) {
        this.target = Objects.requireNonNull(target, "target");
        this.stutter = Objects.requireNonNull(stutter, "stutter");
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public void handle(StandInRequest request, StandInAnswer answer) {
        sendAll(atNextRequest, answer);
        target.handle(request, new StutteringAnswer(request, answer));
    }

    private static void sendAll(Queue<SecondAnswer> seconds, StandInAnswer answer) {
        for (SecondAnswer second = seconds.poll(); second != null; second = seconds.poll()) {
            send(second, answer);
        }
    }

    private static void send(SecondAnswer second, StandInAnswer answer) {
        if (!answer.open()) {
            return;
        }
        answer.raw(second.bytes().toByteArray());
        if (second.closesAfter()) {
            answer.close();
        }
    }

    /** Returns the bytes of the second answers that are written together with the begin of an answer. */
    private byte[] takeWithNextAnswer() {
        byte[] before = NOTHING;
        for (SecondAnswer second = withNextAnswer.poll(); second != null; second = withNextAnswer.poll()) {
            before = AnswerBytes.join(before, second.bytes().toByteArray());
        }
        return before;
    }

    /** Writes an answer in bytes, and plans what follows it when it has ended. */
    private final class StutteringAnswer extends DelegatingAnswer {
        private final StandInRequest request;
        private final AnswerRecorder recorder = new AnswerRecorder();
        private boolean unframed;

        StutteringAnswer(StandInRequest request, StandInAnswer answer) {
            super(answer);
            this.request = request;
        }

        @Override
        public void whole(int status, Map<String, String> headers, byte[] body) {
            Map<String, String> length = Map.of("content-length", Integer.toString(body.length));
            byte[] head = begin(status, headers, length);
            recorder.add(body);
            finish(AnswerBytes.join(head, body));
        }

        @Override
        public void begin(int status, Map<String, String> headers) {
            raw(begin(status, headers, Map.of("transfer-encoding", "chunked")));
        }

        @Override
        public void beginUnframed(int status, Map<String, String> headers) {
            unframed = true;
            raw(begin(status, headers, Map.of()));
        }

        private byte[] begin(int status, Map<String, String> headers, Map<String, String> framing) {
            answering = true;
            recorder.begin(status, headers);
            Map<String, String> all = new TreeMap<>(headers);
            all.putAll(framing);
            return AnswerBytes.join(takeWithNextAnswer(), AnswerBytes.head(status, all.entrySet()));
        }

        @Override
        public void chunk(byte[] body) {
            recorder.add(body);
            raw(unframed ? body : AnswerBytes.chunk(body));
        }

        @Override
        public void end() {
            if (unframed) {
                answering = false;
                close();
            } else {
                finish(AnswerBytes.lastChunk());
            }
        }

        /** Writes the last bytes of this answer, and sends or keeps its second answer. */
        private void finish(byte[] lastBytes) {
            answering = false;
            recorder.end();
            Optional<SecondAnswer> second = stutter.after(request, recorder.given());
            boolean isInSameWrite =
                    second.isPresent() && second.get().timing() == SecondAnswer.Timing.WITH_FIRST_ANSWER;
            raw(isInSameWrite ? AnswerBytes.join(lastBytes, second.get().bytes().toByteArray()) : lastBytes);
            if (isInSameWrite && second.get().closesAfter()) {
                close();
            }
            sendAll(afterThisAnswer, this);
            second.ifPresent(this::plan);
        }

        private void plan(SecondAnswer second) {
            switch (second.timing()) {
                case WITH_FIRST_ANSWER -> {
                    // It is written already.
                }
                case AT_NEXT_REQUEST -> atNextRequest.add(second);
                case WITH_NEXT_ANSWER -> withNextAnswer.add(second);
                case AFTER_DELAY ->
                    time.schedule(second.delayMillis(), () -> {
                        if (answering) {
                            afterThisAnswer.add(second);
                        } else {
                            send(second, this);
                        }
                    });
            }
        }
    }
}
