package org.dogwoodwinch.chart;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads a state chart from its file and checks it against the code that it drives.
 *
 * <p>The file names the initial state, the final ones, and for every other state each event: either where it leads and
 * what to do, or that it is ignored. Leaving an event out is a fault, because "forgotten" and "ignored on purpose" would
 * otherwise look the same.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class ChartReader<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

    private static final String IGNORE = "ignore";

    private final Class<S> states;
    private final Class<E> events;
    private final Class<A> actions;
    private final ObjectMapper mapper =
            JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

    /**
     * Creates a reader.
     *
     * @param states the states that the code knows, not null
     * @param events the events that the code knows, not null
     * @param actions the actions that the code knows, not null
     */
    public ChartReader(Class<S> states, Class<E> events, Class<A> actions) {
        this.states = states;
        this.events = events;
        this.actions = actions;
    }

    /**
     * Reads a chart that is part of the program.
     *
     * @param resource the file's name below {@code charts/}, not null
     * @return the chart
     * @throws IllegalStateException if the file is missing or faulty, naming every fault: a program whose own chart is
     *     wrong must not start
     */
    public StateChart<S, E, A> readResource(String resource) {
        try (InputStream in = ChartReader.class.getResourceAsStream("/charts/" + resource)) {
            if (in == null) {
                throw new IllegalStateException("chart " + resource + " is missing");
            }
            return read(resource, new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException("chart " + resource + " cannot be read", e);
        }
    }

    /**
     * Reads a chart.
     *
     * @param name the chart's name, for messages, not null
     * @param text JSON with comments, not null
     * @return the chart
     * @throws IllegalStateException if the text is faulty, naming every fault
     */
    public StateChart<S, E, A> read(String name, String text) {
        List<String> problems = new ArrayList<>();
        JsonNode root;
        try {
            root = mapper.readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException("chart " + name + " is no JSON", e);
        }
        Optional<S> initial = constant(states, root.path("initial").asText(), "initial state", problems);
        Set<S> finals = EnumSet.noneOf(states);
        root.path("final")
                .forEach(each ->
                        constant(states, each.asText(), "final state", problems).ifPresent(finals::add));
        Map<S, Map<E, ChartStep<S, A>>> steps = readStates(root.path("states"), finals, problems);
        initial.ifPresent(first -> checkReachable(first, finals, steps, problems));
        if (!problems.isEmpty()) {
            throw new IllegalStateException("chart " + name + ": " + String.join("; ", problems));
        }
        return new StateChart<>(initial.orElseThrow(), finals, steps);
    }

    private Map<S, Map<E, ChartStep<S, A>>> readStates(JsonNode node, Set<S> finals, List<String> problems) {
        Map<S, Map<E, ChartStep<S, A>>> result = new EnumMap<>(states);
        node.properties()
                .forEach(entry -> constant(states, entry.getKey(), "state", problems)
                        .ifPresent(state -> result.put(state, readEvents(state, entry.getValue(), problems))));
        for (S state : states.getEnumConstants()) {
            if (finals.contains(state) == result.containsKey(state)) {
                problems.add("state " + state + " must either be final or have its events, and not both");
            }
        }
        return result;
    }

    private Map<E, ChartStep<S, A>> readEvents(S state, JsonNode node, List<String> problems) {
        Map<E, ChartStep<S, A>> result = new EnumMap<>(events);
        Set<E> named = EnumSet.noneOf(events);
        node.properties().forEach(entry -> {
            Optional<E> event = constant(events, entry.getKey(), "event of " + state, problems);
            event.ifPresent(named::add);
            if (!IGNORE.equals(entry.getValue().asText())) {
                Optional<ChartStep<S, A>> step = readStep(state, entry.getValue(), problems);
                event.ifPresent(value -> step.ifPresent(found -> result.put(value, found)));
            }
        });
        for (E event : events.getEnumConstants()) {
            if (!named.contains(event)) {
                problems.add("state " + state + " has no transition for " + event + " and does not ignore it");
            }
        }
        return result;
    }

    private Optional<ChartStep<S, A>> readStep(S state, JsonNode node, List<String> problems) {
        Optional<S> to = constant(states, node.path("to").asText(), "target of a transition of " + state, problems);
        Optional<A> action = node.has("do")
                ? constant(actions, node.path("do").asText(), "action of " + state, problems)
                : Optional.empty();
        return to.map(next -> new ChartStep<>(next, action));
    }

    private void checkReachable(S first, Set<S> finals, Map<S, Map<E, ChartStep<S, A>>> steps, List<String> problems) {
        Set<S> reached = EnumSet.of(first);
        Deque<S> open = new ArrayDeque<>(reached);
        while (!open.isEmpty()) {
            for (ChartStep<S, A> step :
                    steps.getOrDefault(open.remove(), Map.of()).values()) {
                if (reached.add(step.to())) {
                    open.add(step.to());
                }
            }
        }
        for (S state : states.getEnumConstants()) {
            if ((finals.contains(state) || steps.containsKey(state)) && !reached.contains(state)) {
                problems.add("state " + state + " is unreachable");
            }
        }
    }

    private static <T extends Enum<T>> Optional<T> constant(
            Class<T> type, String name, String what, List<String> problems) {
        for (T each : type.getEnumConstants()) {
            if (each.name().equals(name)) {
                return Optional.of(each);
            }
        }
        problems.add("unknown " + what + " '" + name + "'");
        return Optional.empty();
    }
}
