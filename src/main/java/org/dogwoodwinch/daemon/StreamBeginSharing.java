package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
import org.dogwoodwinch.relay.StreamTakeUp;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Finds the service and the software version that began a stream, also when another instance began it, which may have
 * ended since. An instance at which a caller takes a stream up asks those that are told of the streams of the services to
 * which the route leads. Confined to one event loop.
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
     * The age in an answer without a version, if the id is recorded at another service than the one that was asked for, or
     * says nothing.
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
    public void find(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound) {
        takeUp.services().forEach(versions::update);
        recordOf(takeUp, StreamOrigin.Source.RECORDED).ifPresentOrElse(onFound, () -> ask(takeUp, onFound));
    }

    /**
     * Returns what the records of this instance say of a stream; empty if there is none of it. The record decides about
     * the service, since the route may have led elsewhere when the stream began.
     */
    private Optional<StreamOrigin> recordOf(StreamTakeUp takeUp, StreamOrigin.Source source) {
        String requestId = requestIdOf(takeUp);
        if (begins.isAmbiguous(takeUp.owner(), requestId)) {
            return Optional.of(new StreamOrigin.Unknown("ambiguous"));
        }
        return begins.find(takeUp.owner(), requestId, time.monotonicMillis())
                .map(begin -> takeUp.services().contains(begin.service())
                        ? new StreamOrigin.Known(begin.service(), begin.softwareVersion(), source, begin.ageMillis())
                        : new StreamOrigin.Unknown("other_service"));
    }

    private static String requestIdOf(StreamTakeUp takeUp) {
        return takeUp.requestId().filter(StreamId::isRecordable).orElse(UNNAMED);
    }

    private void ask(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound) {
        if (questions.size() >= MAX_QUESTIONS) {
            onFound.accept(new StreamOrigin.Unknown("too_many_questions"));
            return;
        }
        Map<String, String> serviceByAsked = askedFor(takeUp);
        if (serviceByAsked.isEmpty()) {
            onFound.accept(withoutRecord(takeUp));
            return;
        }
        long number = nextQuestion++;
        Question question = new Question(takeUp, serviceByAsked, onFound);
        questions.put(number, question);
        question.timeout = time.schedule(ANSWER_TIMEOUT_MILLIS, () -> endWithoutRecord(number));
        for (String service : takeUp.services()) {
            List<String> asked = serviceByAsked.entrySet().stream()
                    .filter(entry -> entry.getValue().equals(service))
                    .map(Map.Entry::getKey)
                    .toList();
            StreamId stream = new StreamId(takeUp.owner(), service, requestIdOf(takeUp));
            exchange.sendDirectly(PeerTopic.STREAM_QUESTION, encodeQuestion(number, stream), asked);
        }
    }

    /**
     * Returns the instances that are told of the streams of the services at which the stream may have begun, each with the
     * service that it is asked for. Without an id, the others are still asked which versions they see.
     */
    private Map<String, String> askedFor(StreamTakeUp takeUp) {
        List<String> names = telling.memberNames();
        Map<String, String> serviceByAsked = new LinkedHashMap<>();
        for (String service : takeUp.services()) {
            StreamId stream = new StreamId(takeUp.owner(), service, requestIdOf(takeUp));
            StreamRecorders.askedFor(stream, names, ownName).forEach(name -> serviceByAsked.putIfAbsent(name, service));
        }
        return serviceByAsked;
    }

    /**
     * Returns what follows when no record of a stream is found. An instance that hears nothing of the others may have
     * missed a release too, so it does not know that there was none.
     */
    private StreamOrigin withoutRecord(StreamTakeUp takeUp) {
        // A release may have been seen while the others were asked.
        takeUp.services().forEach(versions::update);
        if (!exchange.hearsOthers()) {
            return new StreamOrigin.Unknown("cut_off");
        }
        Optional<StreamOrigin> only = takeUp.serviceWithoutRecord()
                .flatMap(service -> versions.onlyVersion(service)
                        .map(version -> new StreamOrigin.Known(
                                service, version, StreamOrigin.Source.ONLY_VERSION, versions.singleMillis(service))));
        if (only.isEmpty() && !requestIdOf(takeUp).equals(UNNAMED)) {
            takeUp.services().forEach(telling::requestBegins);
        }
        return only.orElseGet(() -> new StreamOrigin.Unknown("no_record"));
    }

    private void endWithoutRecord(long number) {
        Question question = questions.get(number);
        if (question != null) {
            end(
                    number,
                    question.isAnswered || !viewIsOld.getAsBoolean()
                            ? withoutRecord(question.takeUp)
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
        Optional<StreamBegins.KnownBegin> known =
                begins.find(stream.owner(), stream.requestId(), time.monotonicMillis());
        Optional<StreamBegins.KnownBegin> begin =
                known.filter(each -> each.service().equals(stream.service()));
        boolean isContradicted = known.isPresent() || begins.isAmbiguous(stream.owner(), stream.requestId());
        // What comes beside the answer is sent first, because the asker decides with the last answer.
        if (begin.isEmpty() && known.isPresent()) {
            StreamId recorded = new StreamId(stream.owner(), known.get().service(), stream.requestId());
            telling.tell(new StreamBegin(recorded, known.get().softwareVersion()), List.of(asker));
        } else if (!isContradicted) {
            versions.tell(asker, List.of(stream.service()));
        }
        Bytes payload = Packing.pack(begin, (packer, found) -> {
            packer.packArrayHeader(ANSWER_FIELDS);
            packer.packLong(number);
            if (found.isPresent()) {
                packer.packString(found.get().softwareVersion());
            } else {
                packer.packNil();
            }
            packer.packLong(
                    found.map(StreamBegins.KnownBegin::ageMillis).orElse(isContradicted ? CONTRADICTED_AGE_MILLIS : 0));
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
                onAnswer(number, update.origin(), softwareVersion, ageMillis);
                return number;
            });
        } catch (IOException e) {
            StreamBeginTelling.logNotUnderstood(update, e);
        }
    }

    private void onAnswer(long number, String origin, Optional<String> softwareVersion, long ageMillis) {
        Question question = questions.get(number);
        String service = question == null ? null : question.serviceByAsked.get(origin);
        if (service == null) {
            return;
        }
        StreamTakeUp takeUp = question.takeUp;
        softwareVersion.ifPresent(version -> begins.record(
                new StreamId(takeUp.owner(), service, requestIdOf(takeUp)), version, time.monotonicMillis()));
        if (softwareVersion.isPresent() || ageMillis == CONTRADICTED_AGE_MILLIS) {
            // Whoever has a record of another service has sent it before the answer.
            end(
                    number,
                    recordOf(takeUp, StreamOrigin.Source.ASKED)
                            .orElseGet(() -> new StreamOrigin.Unknown("contradicted")));
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
        private final StreamTakeUp takeUp;
        private final Map<String, String> serviceByAsked;
        private final Consumer<StreamOrigin> onFound;
        private int openCount;
        private boolean isAnswered;
        private Cancellable timeout;

        Question(StreamTakeUp takeUp, Map<String, String> serviceByAsked, Consumer<StreamOrigin> onFound) {
            this.takeUp = takeUp;
            this.serviceByAsked = serviceByAsked;
            this.onFound = onFound;
            this.openCount = serviceByAsked.size();
        }
    }
}
