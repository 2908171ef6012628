package org.dogwoodwinch.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;
import org.dogwoodwinch.time.TimeSource;

/**
 * Turns an HTTP request into an authenticated, well-formed request of the system, or into the refusal of it.
 *
 * <p>The checks go from the cheapest to the dearest, and nothing of the body is read before its sender is known.
 * Thread-safe.
 */
public final class CallerRequestReader {

    private static final int DEFAULT_MAX_TOKENS = 1_024;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int LONGEST_KEY = 255;
    private static final long LONGEST_DEADLINE_MILLIS = 86_400_000;
    private static final long RETRY_MILLIS = 1_000;

    private final CatalogueView catalogue;
    private final Supplier<ServingState> serving;
    private final TimeSource time;
    private final AtomicReference<OwnerTokens> tokens = new AtomicReference<>(OwnerTokens.EMPTY);

    /**
     * Creates a reader.
     *
     * @param catalogue the catalogue in force, not null
     * @param serving whether requests are taken, not null
     * @param time gives the arrival time, not null
     */
    public CallerRequestReader(CatalogueView catalogue, Supplier<ServingState> serving, TimeSource time) {
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
        this.serving = Objects.requireNonNull(serving, "serving");
        this.time = Objects.requireNonNull(time, "time");
        catalogue.addListener(changed -> tokens.set(new OwnerTokens(changed)));
        catalogue.current().ifPresent(current -> tokens.set(new OwnerTokens(current)));
    }

    /**
     * Reads a request.
     *
     * @param http the request, whole, not null
     * @param requestId names it, not null
     * @return what became of it
     */
    ReadOutcome read(FullHttpRequest http, String requestId) {
        CallerRoute route = CallerRoute.of(http.uri());
        if (route.kind() == CallerRoute.Kind.UNKNOWN) {
            return refused(RefusalReason.UNKNOWN_PATH, "there is no such path", 0);
        }
        if (!route.methods().contains(http.method().name())) {
            return refused(RefusalReason.METHOD_NOT_ALLOWED, "the path does not take " + http.method(), 0);
        }
        if (serving.get() == ServingState.STOPPING) {
            return refused(RefusalReason.STOPPING, "this instance is stopping; ask another one", RETRY_MILLIS);
        }
        Optional<Catalogue> current = catalogue.current();
        if (current.isEmpty()) {
            return refused(RefusalReason.NOT_READY, "this instance has no catalogue yet", RETRY_MILLIS);
        }
        Optional<String> owner = tokens.get().ownerOf(http.headers().get(HttpHeaderNames.AUTHORIZATION));
        if (owner.isEmpty()) {
            return refused(RefusalReason.UNAUTHENTICATED, "the bearer token is missing or nobody's", 0);
        }
        return readAuthenticated(http, requestId, route, current.get(), owner.get());
    }

    private ReadOutcome readAuthenticated(
            FullHttpRequest http, String requestId, CallerRoute route, Catalogue current, String owner) {
        return switch (route.kind()) {
            case MODELS -> models(current, owner);
            case SERVICE -> readService(http, requestId, route, current, owner);
            case CHAT -> readGenerate(http, requestId, AnswerShape.Kind.CHAT, current, owner);
            default -> readGenerate(http, requestId, AnswerShape.Kind.COMPLETION, current, owner);
        };
    }

    private static ReadOutcome models(Catalogue current, String owner) {
        List<CatalogueEntry> entries = current.entries().values().stream()
                .filter(entry -> entry.owner().equals(owner))
                .filter(entry -> servedBy(current, entry, TargetGroup.Kind.ENGINE))
                .toList();
        return new ReadOutcome.Models(entries);
    }

    private ReadOutcome readGenerate(
            FullHttpRequest http, String requestId, AnswerShape.Kind kind, Catalogue current, String owner) {
        Optional<JsonNode> body = EdgeJson.read(ByteBufUtil.getBytes(http.content()));
        if (body.isEmpty()) {
            return new ReadOutcome.Refused(Refusal.invalidField("", "the body is not well-formed JSON"));
        }
        GenerateBodyReader.GenerateFields fields = GenerateBodyReader.read(kind, body.get());
        if (fields.problem().isPresent()) {
            return new ReadOutcome.Refused(fields.problem().get());
        }
        Optional<ReadOutcome> refusal = entryRefusal(current, owner, fields.model(), TargetGroup.Kind.ENGINE, "model");
        if (refusal.isPresent()) {
            return refusal.get();
        }
        CatalogueEntry entry = current.entries().get(fields.model());
        long promptTokens = Math.max(1, (fields.prompt().length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
        Optional<Refusal> tooMany = tooManyTokens(entry, promptTokens, fields.maxTokens());
        if (tooMany.isPresent()) {
            return new ReadOutcome.Refused(tooMany.get());
        }
        int mostTokens = entry.limits().maxOutputTokens();
        int maxTokens = fields.maxTokens()
                .orElseGet(() -> mostTokens == 0 ? DEFAULT_MAX_TOKENS : Math.min(mostTokens, DEFAULT_MAX_TOKENS));
        Operation work = new Operation.Generate(fields.prompt(), promptTokens, maxTokens);
        return accept(http.headers(), requestId, entry, work, fields.shape());
    }

    private static Optional<Refusal> tooManyTokens(
            CatalogueEntry entry, long promptTokens, Optional<Integer> maxTokens) {
        long mostPrompt = entry.limits().maxPromptTokens();
        if (mostPrompt > 0 && promptTokens > mostPrompt) {
            return Optional.of(Refusal.notRun(
                    RefusalReason.TOO_MANY_TOKENS,
                    "the prompt is about " + promptTokens + " tokens long; the entry allows " + mostPrompt,
                    0));
        }
        int mostOutput = entry.limits().maxOutputTokens();
        if (mostOutput > 0 && maxTokens.isPresent() && maxTokens.get() > mostOutput) {
            return Optional.of(Refusal.notRun(
                    RefusalReason.TOO_MANY_TOKENS,
                    "more tokens are wanted than the " + mostOutput + " that the entry allows",
                    0));
        }
        return Optional.empty();
    }

    private ReadOutcome readService(
            FullHttpRequest http, String requestId, CallerRoute route, Catalogue current, String owner) {
        Optional<ReadOutcome> refusal = entryRefusal(current, owner, route.service(), TargetGroup.Kind.SERVICE, "path");
        if (refusal.isPresent()) {
            return refusal.get();
        }
        String contentType = Objects.requireNonNullElse(http.headers().get(HttpHeaderNames.CONTENT_TYPE), "");
        Operation work = new Operation.Service(
                http.method().name(), route.rest(), contentType, Bytes.of(ByteBufUtil.getBytes(http.content())));
        AnswerShape shape = new AnswerShape(AnswerShape.Kind.SERVICE, false, false);
        return accept(http.headers(), requestId, current.entries().get(route.service()), work, shape);
    }

    private ReadOutcome accept(
            HttpHeaders headers, String requestId, CatalogueEntry entry, Operation work, AnswerShape shape) {
        String key = headers.get(EdgeHeaders.IDEMPOTENCY_KEY);
        if (key != null && !isKey(key)) {
            return invalid(EdgeHeaders.IDEMPOTENCY_KEY, "must be 1 to 255 visible ASCII characters");
        }
        String deadline = headers.get(EdgeHeaders.DEADLINE_MILLIS);
        Optional<Long> wantedMillis = deadline == null ? Optional.of(entry.deadlineMillis()) : parseDeadline(deadline);
        if (wantedMillis.isEmpty()) {
            String detail = "must be a whole number from 1 to " + LONGEST_DEADLINE_MILLIS;
            return invalid(EdgeHeaders.DEADLINE_MILLIS, detail);
        }
        long nowMillis = time.monotonicMillis();
        CallerRequest request = new CallerRequest(
                requestId,
                entry,
                work,
                Optional.ofNullable(key),
                fingerprint(entry, work),
                nowMillis,
                nowMillis + wantedMillis.get());
        return new ReadOutcome.Accepted(request, shape);
    }

    private static Optional<ReadOutcome> entryRefusal(
            Catalogue current, String owner, String name, TargetGroup.Kind kind, String field) {
        Optional<CatalogueEntry> entry = current.entry(name).filter(found -> servedBy(current, found, kind));
        if (entry.isEmpty()) {
            Refusal refusal = new Refusal(
                    RefusalReason.UNKNOWN_ENTRY, RunState.NOT_RUN, "the catalogue has no such entry", field, 0);
            return Optional.of(new ReadOutcome.Refused(refusal));
        }
        if (!entry.get().owner().equals(owner)) {
            Refusal refusal = Refusal.notRun(RefusalReason.FORBIDDEN, "the entry is another owner's", 0);
            return Optional.of(new ReadOutcome.Refused(refusal));
        }
        return Optional.empty();
    }

    private static boolean servedBy(Catalogue current, CatalogueEntry entry, TargetGroup.Kind kind) {
        return current.group(entry.group())
                .filter(group -> group.kind() == kind)
                .isPresent();
    }

    private static ReadOutcome refused(RefusalReason reason, String detail, long retryAfterMillis) {
        return new ReadOutcome.Refused(Refusal.notRun(reason, detail, retryAfterMillis));
    }

    private static ReadOutcome invalid(String field, String detail) {
        return new ReadOutcome.Refused(Refusal.invalidField(field, detail));
    }

    private static boolean isKey(String key) {
        return !key.isEmpty()
                && key.length() <= LONGEST_KEY
                && key.chars().allMatch(character -> character > ' ' && character < 0x7f);
    }

    private static Optional<Long> parseDeadline(String text) {
        if (!text.matches("[0-9]{1,9}")) {
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text)).filter(millis -> millis >= 1 && millis <= LONGEST_DEADLINE_MILLIS);
    }

    /** SHA-256, so that nobody can craft a request that looks like another one's resend. */
    private static long fingerprint(CatalogueEntry entry, Operation work) {
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, entry.name());
        work.match(generate -> putGenerate(hasher, generate), service -> putService(hasher, service));
        return hasher.hash().asLong();
    }

    private static Hasher putGenerate(Hasher hasher, Operation.Generate generate) {
        putText(hasher, generate.prompt());
        return hasher.putInt(generate.maxTokens());
    }

    private static Hasher putService(Hasher hasher, Operation.Service service) {
        putText(hasher, service.method());
        putText(hasher, service.path());
        putText(hasher, service.contentType());
        return hasher.putBytes(service.body().toByteArray());
    }

    private static void putText(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}
