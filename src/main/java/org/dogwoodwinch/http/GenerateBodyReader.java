package org.dogwoodwinch.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Sets;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.dogwoodwinch.request.Refusal;

/** Reads the bodies of chat completions and completions. */
final class GenerateBodyReader {

    private static final int MOST_TOKENS = 1_000_000;

    /** Read and then left alone: clients send them by habit, and the engines' own defaults apply. */
    private static final Set<String> LEFT_TO_ENGINE = Set.of(
            "temperature", "top_p", "seed", "user", "presence_penalty", "frequency_penalty", "metadata", "store");

    private static final Set<String> CHAT_FIELDS =
            Set.of("model", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n");
    private static final Set<String> COMPLETION_FIELDS =
            Set.of("model", "prompt", "max_tokens", "stream", "stream_options", "n");
    private static final SortedSet<String> ROLES =
            new TreeSet<>(Set.of("system", "developer", "user", "assistant", "tool"));

    private final AnswerShape.Kind kind;
    private final FieldReader reader;

    private GenerateBodyReader(AnswerShape.Kind kind, JsonNode body) {
        this.kind = kind;
        this.reader = new FieldReader(body);
    }

    /**
     * What a body holds.
     *
     * @param model the entry's name
     * @param prompt the whole prompt
     * @param maxTokens the most tokens wanted; empty where the caller does not say
     * @param shape how the caller wants its answer
     * @param problem the first problem found; the other parts mean nothing where there is one
     */
    record GenerateFields(
            String model, String prompt, Optional<Integer> maxTokens, AnswerShape shape, Optional<Refusal> problem) {}

    /**
     * Reads a body.
     *
     * @param kind the interface that was called, not null
     * @param body the body, not null
     * @return what it holds
     */
    static GenerateFields read(AnswerShape.Kind kind, JsonNode body) {
        return new GenerateBodyReader(kind, body).read();
    }

    private GenerateFields read() {
        String model = reader.requiredString("model");
        String prompt = kind == AnswerShape.Kind.CHAT ? chatPrompt() : completionPrompt();
        Optional<Integer> maxTokens = maxTokens();
        boolean stream = reader.flag("stream");
        boolean includeUsage = includeUsage(stream);
        reader.count("n", 1);
        reader.refuseUnknown(
                Sets.union(kind == AnswerShape.Kind.CHAT ? CHAT_FIELDS : COMPLETION_FIELDS, LEFT_TO_ENGINE));
        return new GenerateFields(
                model, prompt, maxTokens, new AnswerShape(kind, stream, includeUsage), reader.problem());
    }

    private Optional<Integer> maxTokens() {
        Optional<Integer> older = reader.count("max_tokens", MOST_TOKENS);
        if (kind != AnswerShape.Kind.CHAT) {
            return older;
        }
        Optional<Integer> newer = reader.count("max_completion_tokens", MOST_TOKENS);
        if (older.isPresent() && newer.isPresent()) {
            reader.fail("max_tokens", "must not be given beside max_completion_tokens");
        }
        return newer.or(() -> older);
    }

    private boolean includeUsage(boolean stream) {
        JsonNode options = reader.optional("stream_options");
        if (options.isMissingNode()) {
            return false;
        }
        if (!stream) {
            reader.fail("stream_options", "is only for a streamed answer");
            return false;
        }
        FieldReader nested = new FieldReader(options);
        boolean includeUsage = nested.flag("include_usage");
        nested.refuseUnknown(Set.of("include_usage"));
        nested.problem().ifPresent(problem -> reader.fail(under("stream_options", problem.field()), problem.detail()));
        return includeUsage;
    }

    private String completionPrompt() {
        return reader.requiredString("prompt");
    }

    private String chatPrompt() {
        JsonNode messages = reader.required("messages");
        if (messages == null) {
            return "";
        }
        if (!messages.isArray() || messages.isEmpty()) {
            reader.fail("messages", "must be an array that is not empty");
            return "";
        }
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            appendMessage(prompt, messages.get(i), "messages[" + i + "]");
        }
        return prompt.append("<|assistant|>\n").toString();
    }

    private void appendMessage(StringBuilder prompt, JsonNode message, String path) {
        FieldReader nested = new FieldReader(message);
        String role = nested.requiredString("role");
        if (nested.problem().isEmpty() && !ROLES.contains(role)) {
            nested.fail("role", "must be one of " + String.join(", ", ROLES));
        }
        JsonNode content = nested.required("content");
        nested.refuseUnknown(Set.of("role", "content", "name"));
        prompt.append("<|").append(role).append("|>\n");
        if (content != null) {
            appendContent(prompt, content, nested);
        }
        prompt.append('\n');
        nested.problem().ifPresent(problem -> reader.fail(under(path, problem.field()), problem.detail()));
    }

    private static void appendContent(StringBuilder prompt, JsonNode content, FieldReader nested) {
        if (content.isTextual()) {
            prompt.append(content.textValue());
            return;
        }
        if (!content.isArray()) {
            nested.fail("content", "must be a string or an array of text parts");
            return;
        }
        for (int i = 0; i < content.size(); i++) {
            JsonNode part = content.get(i);
            JsonNode text = part.get("text");
            if (!"text".equals(part.path("type").textValue()) || text == null || !text.isTextual()) {
                nested.fail("content[" + i + "]", "must be a text part");
                return;
            }
            prompt.append(text.textValue());
        }
    }

    private static String under(String path, String field) {
        return field.isEmpty() ? path : path + "." + field;
    }
}
