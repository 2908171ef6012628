package org.dogwoodwinch.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.dogwoodwinch.relay.AnswerFacts;
import org.dogwoodwinch.relay.CallFacts;
import org.dogwoodwinch.relay.CallHeaders;
import org.dogwoodwinch.relay.SendFacts;

/** Translates the platform's headers. */
public final class PlatformHeaders implements CallHeaders {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String PREFILL = "prefill";
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    /** Concern one connection alone. */
    private static final List<AsciiString> OF_ONE_CONNECTION = List.of(
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HeaderNames.KEEP_ALIVE,
            HeaderNames.PROXY_CONNECTION);

    /** Only this system may set them: from a caller they would reach into the memory and order of other requests. */
    private static final List<AsciiString> OF_THIS_SYSTEM = List.of(
            HeaderNames.DEADLINE_MILLIS,
            HeaderNames.EXPECTED_INCARNATION,
            HeaderNames.QUEUE_LEVEL,
            HeaderNames.STAGE,
            HeaderNames.MEMORY_FROM,
            HeaderNames.MEMORY_FETCH,
            HeaderNames.MEMORY_BACKUP,
            HeaderNames.HOLD,
            HeaderNames.PIN_MILLIS,
            HeaderNames.EXPECTED_WEIGHTS,
            HeaderNames.LAST_EVENT_ID);

    @Override
    public CallFacts readCall(HttpHeaders headers) {
        List<String> ids = headers.getAll(HeaderNames.REQUEST_ID);
        Optional<String> id = ids.size() == 1 ? Optional.of(ids.get(0)) : Optional.empty();
        return new CallFacts(
                id.filter(text -> !text.isEmpty()),
                number(headers.get(HeaderNames.DEADLINE_MILLIS)),
                prompt(headers),
                Optional.ofNullable(headers.get(HeaderNames.LAST_EVENT_ID)));
    }

    @Override
    public HttpHeaders forSend(HttpHeaders callers, SendFacts facts) {
        HttpHeaders headers = withoutConnections(callers);
        OF_THIS_SYSTEM.forEach(headers::remove);
        headers.set(HeaderNames.DEADLINE_MILLIS, Long.toString(facts.remainingMillis()));
        headers.set(HeaderNames.EXPECTED_INCARNATION, facts.target().id());
        facts.level().ifPresent(level -> headers.set(HeaderNames.QUEUE_LEVEL, Integer.toString(level)));
        facts.keeper().ifPresent(keeper -> headers.set(HeaderNames.MEMORY_FETCH, keeper.address()));
        facts.lastEventId().ifPresent(id -> headers.set(HeaderNames.LAST_EVENT_ID, id));
        facts.memory()
                .ifPresent(memory -> headers.set(HeaderNames.MEMORY_FROM, memory.address() + "/" + memory.handle()));
        if (facts.prefillOnly()) {
            headers.set(HeaderNames.STAGE, PREFILL);
        }
        return headers;
    }

    @Override
    public AnswerFacts readAnswer(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        return new AnswerFacts(
                answer.status().code(),
                Optional.ofNullable(headers.get(HeaderNames.REQUEST_ID)),
                headers.contains(HeaderNames.SIGNATURE),
                headers.contains(HeaderNames.NOT_RUN),
                headers.contains(HttpHeaderNames.CONTENT_ENCODING),
                idleMillis(headers.get(HeaderNames.KEEP_ALIVE)),
                rate(headers.get(HeaderNames.LIMIT)));
    }

    @Override
    public HttpHeaders forCaller(HttpHeaders targets) {
        return withoutConnections(targets);
    }

    private static HttpHeaders withoutConnections(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders();
        Set<String> named = namedByConnection(headers);
        for (Map.Entry<String, String> header : headers) {
            if (!named.contains(header.getKey())) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        OF_ONE_CONNECTION.forEach(copy::remove);
        return copy;
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        Set<String> named = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",", -1)) {
                named.add(token.strip());
            }
        }
        // A caller that lists what this call cannot do without would have it dropped on the way.
        named.removeIf(name -> HeaderNames.REQUEST_ID.contentEqualsIgnoreCase(name)
                || HeaderNames.MODEL.contentEqualsIgnoreCase(name)
                || HeaderNames.TOKEN_COUNTS.contentEqualsIgnoreCase(name)
                || HeaderNames.PROMPT_PARTS.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.HOST.contentEqualsIgnoreCase(name));
        return named;
    }

    private static Optional<Prompt> prompt(HttpHeaders headers) {
        String counts = headers.get(HeaderNames.TOKEN_COUNTS);
        if (counts == null) {
            return Optional.empty();
        }
        String[] both = counts.split(",", -1);
        int input = (int) number(both[0].strip()).orElse(0);
        int output = both.length < 2 ? 0 : (int) number(both[1].strip()).orElse(0);
        String model = headers.get(HeaderNames.MODEL, "");
        return Optional.of(new Prompt(model, input, output, parts(headers.get(HeaderNames.PROMPT_PARTS))));
    }

    private static List<PromptSegment> parts(String text) {
        List<PromptSegment> parts = new ArrayList<>();
        if (text == null) {
            return parts;
        }
        for (String entry : text.split(",", -1)) {
            int colon = entry.indexOf(':');
            if (colon > 0) {
                int tokens = (int) number(entry.substring(colon + 1).strip()).orElse(0);
                parts.add(new PromptSegment(entry.substring(0, colon).strip().toLowerCase(Locale.ROOT), tokens));
            }
        }
        return parts;
    }

    /** The field has the form {@code timeout=N}, in whole seconds. */
    private static OptionalLong idleMillis(String keepAlive) {
        if (keepAlive == null) {
            return OptionalLong.empty();
        }
        for (String parameter : keepAlive.split(",", -1)) {
            String[] pair = parameter.strip().split("=", 2);
            if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout")) {
                OptionalLong seconds = number(pair[1].strip());
                return seconds.isPresent() ? OptionalLong.of(seconds.getAsLong() * MILLIS_PER_SECOND) : seconds;
            }
        }
        return OptionalLong.empty();
    }

    /** Empty for what is no decimal number from zero on: it then says nothing. */
    private static OptionalDouble rate(String text) {
        if (text == null || !DECIMAL.matcher(text).matches()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Double.parseDouble(text));
    }

    /** Empty for what is no number of at most nine digits: no field of the platform needs more. */
    private static OptionalLong number(String text) {
        if (text == null || text.isEmpty() || text.length() > 9 || !text.chars().allMatch(Character::isDigit)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text));
    }
}
