package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongPredicate;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.relay.AnswerCheck;
import org.dogwoodwinch.relay.ControlReply;

/**
 * What the store's answers to appends prove by their content.
 *
 * <p>Failure: an append that was not executed counts as acknowledged. A lease is then held by two instances, or a record
 * is missing that nobody writes again.
 */
final class StoreAnswerChecks {

    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;

    private StoreAnswerChecks() {}

    /**
     * Returns a check of an append at an expected end. An acknowledgement states that end as the record's offset, and a
     * refusal another end.
     *
     * @param expectedEnd the offset at which the log must end
     * @return the check
     */
    static AnswerCheck conditionalAppend(long expectedEnd) {
        return answer -> switch (answer.status()) {
            case OK -> findInBody(answer, body -> stated(body, "offset", offset -> offset == expectedEnd));
            case PRECONDITION_FAILED -> findInBody(answer, body -> stated(body, "end", end -> end != expectedEnd));
            default -> Optional.empty();
        };
    }

    /**
     * Returns a check of an append at any end. The offset of its record is not known before, but is no other record's.
     *
     * @param isTaken returns whether an offset is that of a record that was acknowledged before, not null
     * @return the check
     */
    static AnswerCheck append(LongPredicate isTaken) {
        return answer -> answer.status() == OK
                ? findInBody(answer, body -> stated(body, "offset", isTaken.negate()))
                : Optional.empty();
    }

    private static Optional<String> stated(JsonNode body, String field, LongPredicate isPossible) {
        JsonNode value = body.path(field);
        if (!value.isIntegralNumber()) {
            return Optional.of("not_append");
        }
        return isPossible.test(value.asLong()) ? Optional.empty() : Optional.of("append_of_before");
    }

    private static Optional<String> findInBody(
            ControlReply.Answered answer, Function<JsonNode, Optional<String>> contradiction) {
        try {
            return contradiction.apply(JsonTrees.read(answer.body().toByteArray()));
        } catch (IOException e) {
            return Optional.of("not_json");
        }
    }
}
