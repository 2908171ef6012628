package org.dogwoodwinch.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.settings.DaemonSettings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.settings.SettingsProblem;
import org.dogwoodwinch.settings.SettingsResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl settings}: checks a settings file and shows what it means. */
@Command(name = "settings", mixinStandardHelpOptions = true, description = "Checks and shows settings files.")
public final class SettingsCommand {

    @Spec
    private CommandSpec spec;

    @Command(name = "check", description = "Checks a file; prints every problem with its line and field.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        SettingsResult result = SettingsLoader.load(file);
        return result.match(
                _settings -> {
                    print(file + ": right");
                    return ExitCodes.DONE;
                },
                this::refuse);
    }

    @Command(name = "show", description = "Prints the effective settings, with defaults, as JSON.")
    int show(@Parameters(paramLabel = "FILE") Path file) {
        return SettingsLoader.load(file)
                .match(
                        settings -> {
                            print(toJson(settings));
                            return ExitCodes.DONE;
                        },
                        this::refuse);
    }

    private int refuse(List<SettingsProblem> problems) {
        PrintWriter err = spec.commandLine().getErr();
        problems.forEach(err::println);
        err.flush();
        return ExitCodes.REFUSED;
    }

    private void print(String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    private static String toJson(DaemonSettings settings) {
        SimpleModule optionals = new SimpleModule().addSerializer(Optional.class, new OptionalSerializer());
        try {
            return new ObjectMapper()
                    .registerModule(optionals)
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValueAsString(settings);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a section that is left out as null. */
    @SuppressWarnings("rawtypes") // Jackson's registration is by raw class.
    private static final class OptionalSerializer extends StdSerializer<Optional> {

        OptionalSerializer() {
            super(Optional.class);
        }

        @Override
        public void serialize(Optional value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            provider.defaultSerializeValue(value.isPresent() ? value.get() : null, generator);
        }
    }
}
