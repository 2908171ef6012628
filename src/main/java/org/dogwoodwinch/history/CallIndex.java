package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The calls of a history with their ends, and the runs of each request. */
final class CallIndex {

    private final Map<String, RequestEvent.Invoked> callsById = new LinkedHashMap<>();
    private final Map<String, List<RequestEvent.Invoked>> callsByRequest = new LinkedHashMap<>();
    private final Map<String, List<RequestEvent>> endsByCall = new LinkedHashMap<>();
    private final Map<String, List<AttemptEvent.Executed>> runsByRequest = new HashMap<>();
    private final Map<String, AttemptEvent.Executed> runsByAttempt = new HashMap<>();

    CallIndex(History history) {
        history.of(RequestEvent.class).forEach(this::add);
        history.of(AttemptEvent.Executed.class).forEach(this::add);
    }

    private void add(RequestEvent event) {
        if (event instanceof RequestEvent.Invoked call) {
            callsById.put(call.callId(), call);
            callsByRequest
                    .computeIfAbsent(call.requestId(), _id -> new ArrayList<>())
                    .add(call);
        } else {
            endsByCall.computeIfAbsent(event.callId(), _id -> new ArrayList<>()).add(event);
        }
    }

    private void add(AttemptEvent.Executed run) {
        runsByRequest.computeIfAbsent(run.requestId(), _id -> new ArrayList<>()).add(run);
        runsByAttempt.put(run.attemptId(), run);
    }

    List<RequestEvent.Invoked> calls() {
        return List.copyOf(callsById.values());
    }

    Optional<RequestEvent.Invoked> call(String callId) {
        return Optional.ofNullable(callsById.get(callId));
    }

    List<RequestEvent.Invoked> callsOf(String requestId) {
        return callsByRequest.getOrDefault(requestId, List.of());
    }

    /** Ends of calls that were never made are listed too. */
    Map<String, List<RequestEvent>> endsByCall() {
        return endsByCall;
    }

    List<RequestEvent> endsOf(String callId) {
        return endsByCall.getOrDefault(callId, List.of());
    }

    Optional<RequestEvent> endOf(String callId) {
        return endsOf(callId).stream().findFirst();
    }

    List<AttemptEvent.Executed> runsOf(String requestId) {
        return runsByRequest.getOrDefault(requestId, List.of());
    }

    Optional<AttemptEvent.Executed> run(String attemptId) {
        return Optional.ofNullable(runsByAttempt.get(attemptId));
    }

    /** Says whether a call was made before a moment and had not ended by then. */
    boolean inFlightAt(RequestEvent.Invoked call, long atMillis) {
        return call.atMillis() <= atMillis
                && endOf(call.callId()).map(end -> end.atMillis() > atMillis).orElse(true);
    }
}
