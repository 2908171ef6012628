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
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.relay.CallAttributes;
import org.dogwoodwinch.relay.CallHeaders;
import org.dogwoodwinch.relay.ResponseAttributes;
import org.dogwoodwinch.relay.ResponseIdentity;
import org.dogwoodwinch.relay.SendAttributes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Translates between the platform's HTTP headers and this system's types. */
public final class PlatformHeaders implements CallHeaders {

    private static final Logger log = LoggerFactory.getLogger(PlatformHeaders.class);
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final String PREFILL_STAGE = "prefill";
    private static final String IS_LEAVING = "1";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Pattern NUMBER_OF_SECONDS = Pattern.compile("\\d+(\\.\\d+)?");
    private static final int MAX_SECONDS_LENGTH = 40;
    private static final long UNREADABLE_REST_MILLIS = 1_000;
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    /** Hop-by-hop headers, which apply to one connection and are not forwarded. */
    private static final List<AsciiString> HOP_BY_HOP_HEADERS = List.of(
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

    /**
     * Headers that only this system may set, and the caller's key. A caller's values are removed, since they could
     * affect the KV caches and the queue order of other requests, run a call in the name of another owner, or give a
     * secret to a target.
     */
    private static final List<AsciiString> RESERVED_HEADERS = List.of(
            HeaderNames.DEADLINE_MILLIS,
            HeaderNames.EXPECTED_INCARNATION,
            HeaderNames.QUEUE_PRIORITY,
            HeaderNames.STAGE,
            HeaderNames.KV_SOURCE,
            HeaderNames.KV_FETCH,
            HeaderNames.KV_BACKUP,
            HeaderNames.KV_HOLD,
            HeaderNames.PIN_MILLIS,
            HeaderNames.EXPECTED_WEIGHTS_VERSION,
            HeaderNames.LAST_EVENT_ID,
            HeaderNames.OWNER,
            HeaderNames.API_KEY);

    @Override
    public CallAttributes parseCall(HttpHeaders headers) {
        return new CallAttributes(
                findSingle(headers, HeaderNames.REQUEST_ID),
                parseNumber(headers.get(HeaderNames.DEADLINE_MILLIS)),
                parsePrompt(headers),
                Optional.ofNullable(headers.get(HeaderNames.LAST_EVENT_ID)),
                findSingle(headers, HeaderNames.RESUMES));
    }

    private static Optional<String> findSingle(HttpHeaders headers, AsciiString name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? Optional.of(values.get(0)).filter(text -> !text.isEmpty()) : Optional.empty();
    }

    @Override
    public Optional<ApiKey> takeApiKey(HttpHeaders headers) {
        List<String> keys = headers.getAll(HeaderNames.API_KEY);
        headers.remove(HeaderNames.API_KEY);
        return keys.size() == 1 ? Optional.of(new ApiKey(keys.get(0))) : Optional.empty();
    }

    @Override
    public HttpHeaders targetHeaders(HttpHeaders callerHeaders, SendAttributes attributes) {
        HttpHeaders headers = copyWithoutHopByHop(callerHeaders);
        RESERVED_HEADERS.forEach(headers::remove);
        headers.set(HeaderNames.DEADLINE_MILLIS, Long.toString(attributes.remainingMillis()));
        headers.set(HeaderNames.EXPECTED_INCARNATION, attributes.target().id());
        attributes.owner().ifPresent(owner -> headers.set(HeaderNames.OWNER, owner));
        attributes.level().ifPresent(priority -> headers.set(HeaderNames.QUEUE_PRIORITY, Integer.toString(priority)));
        attributes.cacheSource().ifPresent(cacheHolder -> headers.set(HeaderNames.KV_FETCH, cacheHolder.address()));
        attributes.lastEventId().ifPresent(id -> headers.set(HeaderNames.LAST_EVENT_ID, id));
        attributes
                .cacheHandle()
                .ifPresent(kvCache -> headers.set(HeaderNames.KV_SOURCE, kvCache.address() + "/" + kvCache.handle()));
        if (attributes.prefillOnly()) {
            headers.set(HeaderNames.STAGE, PREFILL_STAGE);
        }
        return headers;
    }

    @Override
    public HttpHeaders neighbourHeaders(HttpHeaders callerHeaders, Optional<ApiKey> key, long remainingMillis) {
        HttpHeaders headers = copyWithoutHopByHop(callerHeaders);
        headers.set(HeaderNames.DEADLINE_MILLIS, Long.toString(remainingMillis));
        key.ifPresent(known -> headers.set(HeaderNames.API_KEY, known.value()));
        return headers;
    }

    @Override
    public ResponseIdentity parseIdentity(HttpResponse answer) {
        return ResponseIdentity.of(answer, HeaderNames.REQUEST_ID, HeaderNames.SERVER_STAMP);
    }

    @Override
    public ResponseAttributes parseResponse(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        return new ResponseAttributes(
                answer.status().code(),
                headers.contains(HeaderNames.REQUEST_ID),
                headers.contains(HeaderNames.SERVER_STAMP),
                headers.contains(HeaderNames.NOT_RUN),
                headers.contains(HttpHeaderNames.CONTENT_ENCODING),
                parseIdleMillis(headers.get(HeaderNames.KEEP_ALIVE)),
                parseRate(headers.get(HeaderNames.RATE_LIMIT)),
                parseRestMillis(answer.status().code(), headers),
                statesLeaving(headers));
    }

    @Override
    public void stateRequestId(HttpHeaders headers, String requestId) {
        if (!headers.contains(HeaderNames.REQUEST_ID)) {
            headers.set(HeaderNames.REQUEST_ID, requestId);
        }
    }

    /**
     * Returns the time for which a target wants no request, if it turned a request away and states one. A value that is
     * no number of seconds is taken for a short rest, since the target did ask for one.
     */
    static OptionalLong parseRestMillis(int status, HttpHeaders headers) {
        String text = headers.get(HttpHeaderNames.RETRY_AFTER);
        boolean isTurnedAway = status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
        if (text == null || !isTurnedAway) {
            return OptionalLong.empty();
        }
        String seconds = text.strip();
        if (seconds.length() > MAX_SECONDS_LENGTH
                || !NUMBER_OF_SECONDS.matcher(seconds).matches()) {
            LogEvent.of("target_rest_not_understood")
                    .with("value", seconds.substring(0, Math.min(seconds.length(), MAX_SECONDS_LENGTH)))
                    .with("restMillis", UNREADABLE_REST_MILLIS)
                    .info(log);
            return OptionalLong.of(UNREADABLE_REST_MILLIS);
        }
        return OptionalLong.of((long) Math.ceil(Double.parseDouble(seconds) * MILLIS_PER_SECOND));
    }

    /** Returns whether a target states in the head of a response, whatever its status, that it is leaving. */
    static boolean statesLeaving(HttpHeaders headers) {
        return IS_LEAVING.equals(headers.get(HeaderNames.LEAVING));
    }

    @Override
    public HttpHeaders callerHeaders(HttpHeaders targetHeaders) {
        return copyWithoutHopByHop(targetHeaders);
    }

    private static HttpHeaders copyWithoutHopByHop(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders();
        Set<String> options = connectionOptions(headers);
        for (Map.Entry<String, String> header : headers) {
            if (!options.contains(header.getKey())) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        HOP_BY_HOP_HEADERS.forEach(copy::remove);
        return copy;
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
        Set<String> options = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",", -1)) {
                options.add(token.strip());
            }
        }
        // Headers that the call needs are forwarded even if the caller lists them as connection options.
        options.removeIf(name -> HeaderNames.REQUEST_ID.contentEqualsIgnoreCase(name)
                || HeaderNames.MODEL.contentEqualsIgnoreCase(name)
                || HeaderNames.TOKEN_COUNTS.contentEqualsIgnoreCase(name)
                || HeaderNames.PROMPT_SEGMENTS.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.HOST.contentEqualsIgnoreCase(name));
        return options;
    }

    private static Optional<Prompt> parsePrompt(HttpHeaders headers) {
        String tokenCounts = headers.get(HeaderNames.TOKEN_COUNTS);
        if (tokenCounts == null) {
            return Optional.empty();
        }
        String[] fields = tokenCounts.split(",", -1);
        int promptTokens = (int) parseNumber(fields[0].strip()).orElse(0);
        int maxOutputTokens =
                fields.length < 2 ? 0 : (int) parseNumber(fields[1].strip()).orElse(0);
        String model = headers.get(HeaderNames.MODEL, "");
        return Optional.of(new Prompt(
                model, promptTokens, maxOutputTokens, parseSegments(headers.get(HeaderNames.PROMPT_SEGMENTS))));
    }

    private static List<PromptSegment> parseSegments(String text) {
        List<PromptSegment> segments = new ArrayList<>();
        if (text == null) {
            return segments;
        }
        for (String entry : text.split(",", -1)) {
            int colon = entry.indexOf(':');
            if (colon > 0) {
                int tokens =
                        (int) parseNumber(entry.substring(colon + 1).strip()).orElse(0);
                segments.add(new PromptSegment(entry.substring(0, colon).strip().toLowerCase(Locale.ROOT), tokens));
            }
        }
        return segments;
    }

    /** Parses the {@code timeout=N} parameter of a Keep-Alive header; N is in whole seconds. */
    private static OptionalLong parseIdleMillis(String keepAlive) {
        if (keepAlive == null) {
            return OptionalLong.empty();
        }
        for (String parameter : keepAlive.split(",", -1)) {
            String[] pair = parameter.strip().split("=", 2);
            if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout")) {
                OptionalLong seconds = parseNumber(pair[1].strip());
                return seconds.isPresent() ? OptionalLong.of(seconds.getAsLong() * MILLIS_PER_SECOND) : seconds;
            }
        }
        return OptionalLong.empty();
    }

    /** Returns empty if the text is not a non-negative decimal number; an invalid limit is ignored. */
    private static OptionalDouble parseRate(String text) {
        if (text == null || !DECIMAL_NUMBER.matcher(text).matches()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Double.parseDouble(text));
    }

    /** Returns empty if the text is not a number of at most nine digits; no field of the platform needs more. */
    private static OptionalLong parseNumber(String text) {
        if (text == null || text.isEmpty() || text.length() > 9 || !text.chars().allMatch(Character::isDigit)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text));
    }
}
