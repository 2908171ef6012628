package org.dogwoodwinch.faultrun;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Locale;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;

/** Reads what came back on a caller's connection, strictly: what is neither a whole answer nor a refusal is lost. */
final class CallReplyReader {

    private static final int OK = 200;
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";
    private static final String ERROR = "event: error";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CallReplyReader() {}

    /**
     * Reads a whole reply.
     *
     * @param plan what was asked, not null
     * @param status the HTTP status
     * @param body the body, not null
     * @return how the call ended
     */
    static CallResult read(CallPlan plan, int status, String body) {
        try {
            if (status != OK) {
                return refusal(MAPPER.readTree(body), status);
            }
            if (plan.service()) {
                return new CallResult.Answered(body);
            }
            return plan.streamed() ? stream(body) : whole(MAPPER.readTree(body));
        } catch (JsonProcessingException e) {
            return new CallResult.Lost(true, "status " + status + " with a body that cannot be read");
        }
    }

    private static CallResult whole(JsonNode body) {
        JsonNode text = body.path("choices").path(0).path("text");
        return text.isTextual()
                ? new CallResult.Answered(text.textValue())
                : new CallResult.Lost(true, "an answer without text");
    }

    private static CallResult stream(String body) throws JsonProcessingException {
        StringBuilder text = new StringBuilder();
        boolean error = false;
        for (String line : body.lines().toList()) {
            if (line.equals(ERROR)) {
                error = true;
            } else if (line.startsWith(DATA)) {
                String data = line.substring(DATA.length());
                if (data.equals(DONE)) {
                    return new CallResult.Answered(text.toString());
                }
                JsonNode event = MAPPER.readTree(data);
                if (error) {
                    return refusal(event.path("problem"), OK);
                }
                text.append(event.path("choices").path(0).path("text").asText());
            }
        }
        return new CallResult.Lost(true, "a stream without its end");
    }

    private static CallResult refusal(JsonNode problem, int status) {
        String reason = problem.path("reason").asText();
        String run = problem.path("run").asText();
        try {
            return new CallResult.Refused(
                    RefusalReason.valueOf(reason.toUpperCase(Locale.ROOT)),
                    run.equals(RunState.NOT_RUN.label()) ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN,
                    problem.path("retryAfterMillis").asLong());
        } catch (IllegalArgumentException e) {
            return new CallResult.Lost(true, "status " + status + " with the unknown reason '" + reason + "'");
        }
    }
}
