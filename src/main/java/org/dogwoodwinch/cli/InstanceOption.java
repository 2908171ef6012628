package org.dogwoodwinch.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.errorprone.annotations.FormatMethod;
import java.io.PrintWriter;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The options of commands that ask one instance, and what they do with its reply. */
final class InstanceOption {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int UNPROCESSABLE = 422;
    private static final int CONFLICT = 409;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = "--instance",
            paramLabel = "URL",
            defaultValue = "http://127.0.0.1:8081",
            description = "The instance's operators' listener (default: ${DEFAULT-VALUE}).")
    private String instanceUrl;

    @Option(names = "--json", description = "Print the instance's JSON as it came.")
    private boolean json;

    /** Prints a complaint. */
    void complain(String text) {
        spec.commandLine().getErr().println(text);
    }

    /** Gets a page and prints it as it came. */
    int getText(String path) {
        return reply(new OperatorClient(instanceUrl).get(path), body -> {
            print(body);
            return ExitCodes.DONE;
        });
    }

    /** Gets an object and prints it. */
    <T> int get(String path, Class<T> type, ToIntFunction<T> print) {
        return reply(new OperatorClient(instanceUrl).get(path), body -> read(body, MAPPER.constructType(type), print));
    }

    /** Gets a list and prints it. */
    <T> int getList(String path, Class<T> type, ToIntFunction<List<T>> print) {
        JavaType listType = MAPPER.getTypeFactory().constructCollectionType(List.class, type);
        return reply(new OperatorClient(instanceUrl).get(path), body -> read(body, listType, print));
    }

    /** Posts an object and prints the answer. */
    <T> int post(String path, Object body, Class<T> type, ToIntFunction<T> print) {
        String text;
        try {
            text = MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("requests are always writable", e);
        }
        return reply(
                new OperatorClient(instanceUrl).post(path, text),
                answer -> read(answer, MAPPER.constructType(type), print));
    }

    private int reply(Optional<OperatorReply> reply, Function<String, Integer> use) {
        if (reply.isEmpty()) {
            complain("no answer from " + instanceUrl);
            return ExitCodes.UNREACHABLE;
        }
        int status = reply.get().status();
        // Rejected edits and plans come with an answer of their own, not with a bare problem.
        if (!reply.get().isSuccess() && status != CONFLICT && status != UNPROCESSABLE) {
            complain(reply.get().body());
            return status >= 500 ? ExitCodes.UNREACHABLE : ExitCodes.REFUSED;
        }
        int code = use.apply(reply.get().body());
        return code;
    }

    private <T> int read(String body, JavaType type, ToIntFunction<T> print) {
        try {
            T value = MAPPER.readValue(body, type);
            if (json) {
                print(body);
            }
            return print.applyAsInt(value);
        } catch (JsonProcessingException e) {
            complain("the answer is of another version: " + e.getOriginalMessage());
            return ExitCodes.UNREACHABLE;
        }
    }

    private void print(String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    /** Prints a line for people, unless JSON was asked for. */
    @FormatMethod
    void line(String format, Object... values) {
        if (!json) {
            print(String.format(format, values));
        }
    }
}
