package org.dogwoodwinch.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Objects;

/**
 * The parts of prompts that a stand-in engine keeps, of which the least recently used yield, and the changes that it
 * reports. Used on one event loop alone.
 */
final class PromptMemory {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Changes that it still reports; older ones are lost to those who ask late. */
    private static final int MAX_EVENTS = 64;

    private final String epoch;
    private final long maxTokens;
    private final LinkedHashMap<String, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> events = new ArrayList<>();

    /**
     * Creates a memory that is empty.
     *
     * @param epoch the id of the engine's start, not null
     * @param maxTokens the tokens of all parts together
     */
    PromptMemory(String epoch, long maxTokens) {
        this.epoch = Objects.requireNonNull(epoch, "epoch");
        this.maxTokens = maxTokens;
    }

    /**
     * Reads a prompt, after which all its parts are kept.
     *
     * @param parts the parts in order, as ID:TOKENS separated by commas; empty for a call without a prompt, not null
     * @return the tokens from the first part on that was not kept
     */
    long read(String parts) {
        if (parts.isEmpty()) {
            return 0;
        }
        long unreadTokens = 0;
        boolean hasGap = false;
        for (String entry : parts.split(",", -1)) {
            String part = entry.substring(0, entry.indexOf(':'));
            int tokens = Integer.parseInt(entry.substring(entry.indexOf(':') + 1));
            hasGap |= !kept.containsKey(part);
            unreadTokens += hasGap ? tokens : 0;
            keep(part, tokens);
        }
        return unreadTokens;
    }

    private void keep(String part, int tokens) {
        if (kept.put(part, tokens) == null) {
            events.add(new CacheEvent(part, tokens));
        }
        while (kept.values().stream().mapToLong(Integer::longValue).sum() > maxTokens && kept.size() > 1) {
            String oldest = kept.keySet().iterator().next();
            kept.remove(oldest);
            events.add(new CacheEvent(oldest, 0));
        }
    }

    /**
     * Returns the answer to a question for changes.
     *
     * @param since the number of the first change that is wanted
     * @return the changes, as the protocol writes them
     */
    ObjectNode changesSince(int since) {
        int oldest = Math.max(0, events.size() - MAX_EVENTS);
        ObjectNode reply = reply().put("lost", since < oldest);
        ArrayNode list = reply.putArray("events");
        for (int i = Math.min(Math.max(since, oldest), events.size()); i < events.size(); i++) {
            CacheEvent event = events.get(i);
            list.addArray()
                    .add(i)
                    .add(event.tokens() > 0 ? "+" : "-")
                    .add("")
                    .add(event.part())
                    .add(event.tokens())
                    .add("m");
        }
        return reply;
    }

    /**
     * Returns the answer to a question for all parts.
     *
     * @return the parts, as the protocol writes them
     */
    ObjectNode allParts() {
        ObjectNode reply = reply();
        ArrayNode held = reply.putArray("held");
        kept.forEach((part, tokens) ->
                held.addArray().add("").add(part).add(tokens.intValue()).add("m"));
        return reply;
    }

    private ObjectNode reply() {
        return JSON.createObjectNode().put("epoch", epoch).put("nextToken", events.size());
    }

    private record CacheEvent(String part, int tokens) {}
}
