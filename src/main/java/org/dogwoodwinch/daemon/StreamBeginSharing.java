package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.StreamBegin;
import org.dogwoodwinch.forwarding.StreamBegins;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.StreamLifetime;
import org.dogwoodwinch.forwarding.StreamRecorders;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.StreamOrigin;
import org.dogwoodwinch.relay.StreamOrigins;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Finds the software version that began a stream, also when another instance began it, which may have ended since. An
 * instance at which a caller takes a stream up asks those that are told of the streams of its service. Confined to one
 * event loop.
 *
 * <p>Failure: a caller takes its stream up at an instance that knows nothing of it, and a target of another version goes
 * on with it.
 */
final class StreamBeginSharing implements StreamOrigins {

    /** Many round trips between data centres; the caller waits for it at most once. */
    private static final long ANSWER_TIMEOUT_MILLIS = 150;

    /** Questions at the same moment; more come only from callers that invent streams. */
    private static final int MAX_QUESTIONS = 2_000;

    /** The request id in a question for a stream without a usable one; nobody has a record of it. */
    private static final String UNNAMED = "";

    private static final int QUESTION_FIELDS = 4;
    private static final int ANSWER_FIELDS = 3;

    /**
     * The age in an answer without a version, if the id is recorded but says nothing about the version. An older program
     * takes it for an answer without a record.
     */
    private static final long CONTRADICTED_AGE_MILLIS = -1;

    private final String ownName;
    private final RelayExchange exchange;
    private final VersionHistorySharing versions;
    private final StreamBegins begins;
    private final StreamBeginTelling telling;
    private final StreamLifetime lifetime;
    private final BooleanSupplier viewIsOld;
    private final TimeSource time;
    private final Map<Long, Question> questions = new HashMap<>();
    private long nextQuestion;

    /**
     * Creates an object that tells and hears nothing before {@link #start}.
     *
     * @param ownName the name of this instance, not null
     * @param exchange the bus between the instances, not null
     * @param versions the versions that services have had, not null
     * @param begins the streams that this instance knows, not null
     * @param telling tells the others of the streams that begin at this instance, not null
     * @param lifetime receives how long callers may come back, not null
     * @param viewIsOld whether the entries of targets may lack what others have read; nobody's answer then leaves a stream
     *     unknown, not null
     * @param firstQuestion the number of the first question, another one for each process, so that a late answer to an
     *     ended process is not taken for one to its successor
     * @param time the clock and timers, not null
     */
    StreamBeginSharing(
            String ownName,
            RelayExchange exchange,
            VersionHistorySharing versions,
            StreamBegins begins,
            StreamBeginTelling telling,
            StreamLifetime lifetime,
            BooleanSupplier viewIsOld,
            long firstQuestion,
            TimeSource time) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.versions = Objects.requireNonNull(versions, "versions");
        this.begins = Objects.requireNonNull(begins, "begins");
        this.telling = Objects.requireNonNull(telling, "telling");
        this.lifetime = Objects.requireNonNull(lifetime, "lifetime");
        this.viewIsOld = Objects.requireNonNull(viewIsOld, "viewIsOld");
        this.nextQuestion = firstQuestion;
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to receive questions and answers. */
    void start() {
        exchange.subscribe(PeerTopic.STREAM_QUESTION, this::onQuestion);
        exchange.subscribe(PeerTopic.STREAM_ANSWER, this::onAnswer);
    }

    @Override
    public void recordBegin(StreamId stream, String softwareVersion, OptionalLong callerMillis) {
        callerMillis.ifPresent(millis -> lifetime.recordDeadline(millis, time.monotonicMillis()));
        telling.recordBegin(new StreamBegin(stream, softwareVersion));
    }

    @Override
    public void find(String service, Optional<StreamId> stream, Consumer<StreamOrigin> onFound) {
        versions.update(service);
        // Without an id, the others are still asked which versions they see.
        StreamId named = stream.filter(StreamId::isRecordable).orElseGet(() -> new StreamId("", service, UNNAMED));
        Optional<StreamOrigin> recorded = begins.find(named, time.monotonicMillis())
                .map(begin -> new StreamOrigin.Known(
                        begin.softwareVersion(), StreamOrigin.Source.RECORDED, begin.ageMillis()));
        if (recorded.isPresent()) {
            onFound.accept(recorded.get());
            return;
        }
        begins.contradiction(named)
                .ifPresentOrElse(reason -> onFound.accept(new StreamOrigin.Unknown(reason)), () -> ask(named, onFound));
    }

    private void ask(StreamId stream, Consumer<StreamOrigin> onFound) {
        List<String> asked = StreamRecorders.askedFor(stream, telling.memberNames(), ownName);
        if (questions.size() >= MAX_QUESTIONS) {
            onFound.accept(new StreamOrigin.Unknown("too_many_questions"));
            return;
        }
        if (asked.isEmpty()) {
            onFound.accept(withoutRecord(stream.service()));
            return;
        }
        long number = nextQuestion++;
        Question question = new Question(stream, onFound, asked.size());
        questions.put(number, question);
        question.timeout = time.schedule(ANSWER_TIMEOUT_MILLIS, () -> endWithoutRecord(number));
        exchange.sendDirectly(PeerTopic.STREAM_QUESTION, encodeQuestion(number, stream), asked);
    }

    /**
     * Returns what follows when no record of a stream is found. An instance that hears nothing of the others may have
     * missed a release too, so it does not know that there was none.
     */
    private StreamOrigin withoutRecord(String service) {
        // A release may have been seen while the others were asked.
        versions.update(service);
        if (!exchange.hearsOthers()) {
            return new StreamOrigin.Unknown("cut_off");
        }
        return versions.onlyVersion(service)
                .<StreamOrigin>map(version -> new StreamOrigin.Known(
                        version, StreamOrigin.Source.ONLY_VERSION, versions.singleMillis(service)))
                .orElseGet(() -> {
                    telling.requestBegins(service);
                    return new StreamOrigin.Unknown("no_record");
                });
    }

    private void endWithoutRecord(long number) {
        Question question = questions.get(number);
        if (question != null) {
            end(
                    number,
                    question.isAnswered || !viewIsOld.getAsBoolean()
                            ? withoutRecord(question.stream.service())
                            : new StreamOrigin.Unknown("old_view"));
        }
    }

    private void end(long number, StreamOrigin origin) {
        Question question = questions.remove(number);
        question.timeout.cancel();
        question.onFound.accept(origin);
    }

    private void onQuestion(PeerUpdate update) {
        try {
            Packing.unpack(update.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, QUESTION_FIELDS);
                long number = unpacker.unpackLong();
                answer(update.origin(), number, StreamBeginTelling.unpackStream(unpacker));
                return number;
            });
        } catch (IOException e) {
            StreamBeginTelling.logNotUnderstood(update, e);
        }
    }

    private void answer(String asker, long number, StreamId stream) {
        Optional<StreamBegins.KnownBegin> begin = begins.find(stream, time.monotonicMillis());
        long ageWithoutBeginMillis = begins.contradiction(stream).isPresent() ? CONTRADICTED_AGE_MILLIS : 0;
        if (begin.isEmpty()) {
            // Sent first, because the asker decides with the last answer.
            versions.tell(asker, List.of(stream.service()));
        }
        Bytes payload = Packing.pack(begin, (packer, known) -> {
            packer.packArrayHeader(ANSWER_FIELDS);
            packer.packLong(number);
            if (known.isPresent()) {
                packer.packString(known.get().softwareVersion());
            } else {
                packer.packNil();
            }
            packer.packLong(known.map(StreamBegins.KnownBegin::ageMillis).orElse(ageWithoutBeginMillis));
        });
        exchange.sendDirectly(PeerTopic.STREAM_ANSWER, payload, List.of(asker));
    }

    private void onAnswer(PeerUpdate update) {
        try {
            Packing.unpack(update.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, ANSWER_FIELDS);
                long number = unpacker.unpackLong();
                Optional<String> softwareVersion =
                        unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
                long ageMillis = unpacker.unpackLong();
                onAnswer(number, softwareVersion, ageMillis);
                return number;
            });
        } catch (IOException e) {
            StreamBeginTelling.logNotUnderstood(update, e);
        }
    }

    private void onAnswer(long number, Optional<String> softwareVersion, long ageMillis) {
        Question question = questions.get(number);
        if (question == null) {
            return;
        }
        if (softwareVersion.isPresent()) {
            begins.record(question.stream, softwareVersion.get(), time.monotonicMillis());
            end(number, new StreamOrigin.Known(softwareVersion.get(), StreamOrigin.Source.ASKED, ageMillis));
            return;
        }
        if (ageMillis == CONTRADICTED_AGE_MILLIS) {
            end(number, new StreamOrigin.Unknown("contradicted"));
            return;
        }
        question.openCount--;
        question.isAnswered = true;
        if (question.openCount == 0) {
            endWithoutRecord(number);
        }
    }

    private static Bytes encodeQuestion(long number, StreamId stream) {
        return Packing.pack(stream, (packer, id) -> {
            packer.packArrayHeader(QUESTION_FIELDS);
            packer.packLong(number);
            StreamBeginTelling.packStream(packer, id);
        });
    }

    private static final class Question {
        private final StreamId stream;
        private final Consumer<StreamOrigin> onFound;
        private int openCount;
        private boolean isAnswered;
        private Cancellable timeout;

        Question(StreamId stream, Consumer<StreamOrigin> onFound, int openCount) {
            this.stream = stream;
            this.onFound = onFound;
            this.openCount = openCount;
        }
    }
}
