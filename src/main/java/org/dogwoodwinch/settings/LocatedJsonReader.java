package org.dogwoodwinch.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.settings.LocatedValue.FlagValue;
import org.dogwoodwinch.settings.LocatedValue.NumberValue;
import org.dogwoodwinch.settings.LocatedValue.ObjectValue;
import org.dogwoodwinch.settings.LocatedValue.OtherValue;
import org.dogwoodwinch.settings.LocatedValue.TextValue;

/** Reads JSON with comments and trailing commas into values that know their lines. */
final class LocatedJsonReader {

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private final String file;
    private final Consumer<SettingsProblem> problems;

    LocatedJsonReader(String file, Consumer<SettingsProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /** Reads a whole text; empty, with a problem told, where it is no JSON object. */
    Optional<ObjectValue> read(String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                problems.accept(new SettingsProblem(file, 1, "", "the file must hold one JSON object"));
                return Optional.empty();
            }
            ObjectValue root = readObject(parser, "");
            if (parser.nextToken() != null) {
                problems.accept(new SettingsProblem(file, line(parser), "", "there is text after the JSON object"));
            }
            return Optional.of(root);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            problems.accept(new SettingsProblem(file, line, "", "not valid JSON: " + e.getOriginalMessage()));
            return Optional.empty();
        } catch (IOException e) {
            problems.accept(new SettingsProblem(file, 1, "", "cannot be read: " + e.getMessage()));
            return Optional.empty();
        }
    }

    private ObjectValue readObject(JsonParser parser, String path) throws IOException {
        int line = line(parser);
        Map<String, LocatedValue> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            int fieldLine = line(parser);
            String field = path.isEmpty() ? name : path + "." + name;
            parser.nextToken();
            LocatedValue value = readValue(parser, field);
            if (fields.putIfAbsent(name, value) != null) {
                problems.accept(new SettingsProblem(file, fieldLine, field, "is given twice"));
            }
        }
        return new ObjectValue(line, fields);
    }

    private LocatedValue readValue(JsonParser parser, String path) throws IOException {
        int line = line(parser);
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readObject(parser, path);
        }
        if (token == JsonToken.VALUE_STRING) {
            return new TextValue(line, parser.getText());
        }
        if (token.isNumeric()) {
            return new NumberValue(line, parser.getDoubleValue(), token == JsonToken.VALUE_NUMBER_INT);
        }
        if (token.isBoolean()) {
            return new FlagValue(line, token == JsonToken.VALUE_TRUE);
        }
        parser.skipChildren();
        return new OtherValue(line, token == JsonToken.VALUE_NULL ? "null" : "an array");
    }

    private static int line(JsonParser parser) {
        return parser.currentTokenLocation().getLineNr();
    }
}
