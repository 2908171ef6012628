package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.relay.AnswerCheck;
import org.dogwoodwinch.relay.ControlReply;

/**
 * What the answers of an engine's control interface prove by their content. A failure proves nothing and is accepted: it
 * changes nothing but the time of the next call.
 */
final class EngineAnswerChecks {

    private static final int OK = 200;
    private static final int FIRST_FAILURE = 400;

    private EngineAnswerChecks() {}

    /**
     * Returns a check of the changes in a KV cache. The answer to an earlier call has numbers below the one from which
     * this call continues; one without changes is not told from the own one and is as good.
     *
     * @param sinceNumber the number of the first change that was asked for
     * @return the check
     */
    static AnswerCheck cacheEvents(long sinceNumber) {
        return answer -> findInBody(answer, body -> {
            if (!hasNumbers(body) || !body.path("events").isArray()) {
                return Optional.of("not_cache_events");
            }
            if (body.path("nextToken").asLong() < sinceNumber) {
                return Optional.of("numbers_go_back");
            }
            for (JsonNode event : body.path("events")) {
                JsonNode number = event.path(0);
                if (number.isIntegralNumber() && number.asLong() < sinceNumber) {
                    return Optional.of("numbers_go_back");
                }
            }
            return Optional.empty();
        });
    }

    /**
     * Returns a check of the complete list of a KV cache. An earlier list is not told from the own one; it states the
     * number from which the changes after it follow, and with them it is complete too.
     *
     * @return the check
     */
    static AnswerCheck cacheList() {
        return answer -> findInBody(
                answer,
                body -> hasNumbers(body) && body.path("held").isArray()
                        ? Optional.empty()
                        : Optional.of("not_cache_list"));
    }

    /**
     * Returns a check of a report.
     *
     * @param knownOrdersCount returns the number of orders that the engine is known to have accepted, not null
     * @return the check
     */
    static AnswerCheck report(LongSupplier knownOrdersCount) {
        return answer -> findInBody(answer, body -> {
            if (!body.path("seq").isIntegralNumber()
                    || !body.path("busy").isBoolean()
                    || !body.path("stage").isTextual()) {
                return Optional.of("not_report");
            }
            return body.path("seq").asLong() < knownOrdersCount.getAsLong()
                    ? Optional.of("report_of_before")
                    : Optional.empty();
        });
    }

    /**
     * Returns a check of the answer to a release, which has no content that is known: it refuses answers to polls.
     *
     * @return the check
     */
    static AnswerCheck release() {
        return answer -> {
            String body = new String(answer.body().toByteArray(), StandardCharsets.UTF_8);
            return body.contains("\"nextToken\"") || body.contains("\"seq\"")
                    ? Optional.of("not_release")
                    : Optional.empty();
        };
    }

    private static boolean hasNumbers(JsonNode body) {
        return body.path("nextToken").isIntegralNumber() && body.path("epoch").isValueNode();
    }

    private static Optional<String> findInBody(
            ControlReply.Answered answer, Function<JsonNode, Optional<String>> contradiction) {
        if (answer.status() >= FIRST_FAILURE) {
            return Optional.empty();
        }
        if (answer.status() != OK) {
            return Optional.of("status_" + answer.status());
        }
        try {
            return contradiction.apply(JsonTrees.read(answer.body().toByteArray()));
        } catch (IOException e) {
            return Optional.of("not_json");
        }
    }
}
