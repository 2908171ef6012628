package org.dogwoodwinch.relay;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The calls under way at this instance, whoever serves them. Confined to one event loop. */
final class OpenCalls {

    private static final Logger log = LoggerFactory.getLogger(OpenCalls.class);

    private final Set<CallRelay> relays = new LinkedHashSet<>();
    private final Set<OriginSearch> searches = new LinkedHashSet<>();
    private final Set<PassedOn> passedOn = new LinkedHashSet<>();

    /** Returns the number of calls without a complete response. */
    int count() {
        return relays.size() + searches.size() + passedOn.size();
    }

    /**
     * Starts a call that this instance forwards.
     *
     * @param relayFor creates the relay, given what it runs at the call's end, not null
     * @param onDone run at the call's end, not null
     * @return the call under way
     */
    ActiveCall forward(Function<Consumer<CallRelay>, CallRelay> relayFor, Runnable onDone) {
        CallRelay relay = relayFor.apply(ended -> {
            relays.remove(ended);
            onDone.run();
        });
        relays.add(relay);
        try {
            relay.start();
        } catch (RuntimeException | Error e) {
            // Whoever handles the failure answers the caller, and nothing would remove the call.
            relays.remove(relay);
            throw e;
        }
        return relay;
    }

    /**
     * Starts to search the begin of a stream that a call takes up.
     *
     * @param searchFor creates the search, given what it runs at its end, not null
     * @return the call under way
     */
    ActiveCall search(Function<Runnable, OriginSearch> searchFor) {
        OriginSearch[] entry = new OriginSearch[1];
        entry[0] = searchFor.apply(() -> searches.remove(entry[0]));
        searches.add(entry[0]);
        try {
            entry[0].start();
        } catch (RuntimeException | Error e) {
            searches.remove(entry[0]);
            throw e;
        }
        return entry[0];
    }

    /**
     * Passes a call on to another instance before anything was done for it here.
     *
     * @param begin passes the call on, given what to run at its end, not null
     * @param onDone run at the call's end, not null
     * @return the call under way
     */
    ActiveCall passOn(Function<Runnable, ActiveCall> begin, Runnable onDone) {
        PassedOn entry = new PassedOn();
        passedOn.add(entry);
        try {
            entry.call = begin.apply(() -> {
                passedOn.remove(entry);
                onDone.run();
            });
        } catch (RuntimeException | Error e) {
            passedOn.remove(entry);
            throw e;
        }
        return entry.call;
    }

    /** Passes on the calls that wait for targets, where that is allowed. */
    void passOnWaiting() {
        List.copyOf(relays).forEach(CallRelay::passOnWaiting);
    }

    /**
     * Ends all calls with an answer, or aborts what has begun, since the process is about to exit.
     *
     * @return the number of calls that were ended
     */
    int endAll() {
        int endedCount = 0;
        for (CallRelay relay : List.copyOf(relays)) {
            endedCount += end(relay);
        }
        for (OriginSearch search : List.copyOf(searches)) {
            endedCount += end(search);
        }
        for (PassedOn entry : List.copyOf(passedOn)) {
            endedCount += end(entry.call);
        }
        return endedCount;
    }

    /** Ends one call; a failure must not leave the others without an answer. */
    private static int end(ActiveCall call) {
        try {
            return log(call.onInstanceStop());
        } catch (RuntimeException | Error e) {
            LogEvent.of("request_failed_here").with("error", e).warn(log);
            return 1;
        }
    }

    private static int log(Optional<StoppedCall> stopped) {
        stopped.ifPresent(call -> LogEvent.of("call_ended_by_stop")
                .with("request", call.requestId())
                .with("stage", call.stage())
                .with("ending", call.ending().name().toLowerCase(Locale.ROOT))
                .with("ageMillis", call.ageMillis())
                .info(log));
        return stopped.isPresent() ? 1 : 0;
    }

    private static final class PassedOn {
        private ActiveCall call = ActiveCall.NONE;
    }
}
