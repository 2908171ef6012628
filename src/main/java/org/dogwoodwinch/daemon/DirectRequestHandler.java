package org.dogwoodwinch.daemon;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.platform.ListedInstance;
import org.dogwoodwinch.request.AnswerSink;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RequestHandle;
import org.dogwoodwinch.request.RequestHandler;
import org.dogwoodwinch.request.Work;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceCall;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClients;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.Usage;

/** The thinnest request handler: the target that was sent the least, one attempt, no retry. Thread-safe. */
final class DirectRequestHandler implements RequestHandler {

    private static final long RETRY_MILLIS = 1_000;

    private final TargetDirectory directory;
    private final TargetClients clients;
    private final CatalogueView catalogue;
    private final Map<String, AtomicLong> sent = new ConcurrentHashMap<>();

    /**
     * Creates a handler.
     *
     * @param directory knows the targets, not null
     * @param clients reaches them, not null
     * @param catalogue knows the groups' models, not null
     */
    DirectRequestHandler(TargetDirectory directory, TargetClients clients, CatalogueView catalogue) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.clients = Objects.requireNonNull(clients, "clients");
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
    }

    @Override
    public RequestHandle submit(CallerRequest request, AnswerSink sink) {
        Optional<Target> target = leastSent(request.entry().group());
        if (target.isEmpty()) {
            sink.onRefused(Refusal.notRun(RefusalReason.NO_TARGET, "no target serves the entry", RETRY_MILLIS));
            return new Running(Optional.empty());
        }
        return request.work()
                .match(
                        generate -> sendGenerate(request, generate, target.get(), sink),
                        service -> sendService(request, service, target.get(), sink));
    }

    private RequestHandle sendGenerate(CallerRequest request, Work.Generate work, Target target, AnswerSink sink) {
        GenerateCall call = new GenerateCall(
                request.requestId() + ".1",
                modelOf(request.entry()),
                work.prompt(),
                work.maxTokens(),
                0,
                request.deadlineMillis() - request.arrivedMillis(),
                false,
                Optional.empty());
        return new Running(Optional.of(clients.engine(target).generate(call, new Relay(sink))));
    }

    private RequestHandle sendService(CallerRequest request, Work.Service work, Target target, AnswerSink sink) {
        ServiceCall call = new ServiceCall(
                request.requestId() + ".1",
                work.method(),
                work.path(),
                work.contentType(),
                work.body(),
                request.deadlineMillis() - request.arrivedMillis());
        clients.service(target).call(call).thenAccept(reply -> {
            if (reply instanceof TargetReply.Answer<ServiceAnswer> a) {
                sink.onServiceAnswer(a.value());
            } else if (reply instanceof TargetReply.Failure<ServiceAnswer> f) {
                sink.onRefused(refusalOf(f.failure()));
            }
        });
        return new Running(Optional.empty());
    }

    private String modelOf(CatalogueEntry entry) {
        return catalogue
                .current()
                .flatMap(current -> current.group(entry.group()))
                .map(TargetGroup::model)
                .orElse("");
    }

    private Optional<Target> leastSent(String group) {
        Optional<Target> target = directory.latest().stream()
                .filter(line -> line.kind() != ListedInstance.Kind.ENTRY)
                .filter(line -> line.group().equals(group) && !line.leaving())
                .min(Comparator.comparingLong(line -> sentTo(line.name()).get()))
                .map(TargetDirectory::toTarget);
        target.ifPresent(found -> sentTo(found.name()).incrementAndGet());
        return target;
    }

    private AtomicLong sentTo(String name) {
        return sent.computeIfAbsent(name, _name -> new AtomicLong());
    }

    private static Refusal refusalOf(TargetFailure failure) {
        return failure.provesNotRun()
                ? Refusal.notRun(RefusalReason.TARGET_FAILED, failure.detail(), RETRY_MILLIS)
                : Refusal.mayHaveRun(RefusalReason.TARGET_FAILED, failure.detail());
    }

    private record Relay(AnswerSink sink) implements AnswerListener {

        @Override
        public void onChunk(AnswerChunk chunk) {
            sink.onChunk(chunk);
        }

        @Override
        public void onComplete(Usage usage, String finishReason) {
            sink.onComplete(usage, finishReason);
        }

        @Override
        public void onFailure(TargetFailure failure) {
            sink.onRefused(refusalOf(failure));
        }
    }

    private record Running(Optional<AnswerStream> stream) implements RequestHandle {

        @Override
        public void pauseReading() {
            stream.ifPresent(AnswerStream::pauseReading);
        }

        @Override
        public void resumeReading() {
            stream.ifPresent(AnswerStream::resumeReading);
        }

        @Override
        public void cancel() {
            stream.ifPresent(AnswerStream::cancel);
        }
    }
}
