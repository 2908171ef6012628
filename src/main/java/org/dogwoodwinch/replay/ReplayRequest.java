package org.dogwoodwinch.replay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.admission.Permit;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.standin.EngineCost;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/** The way of one traced request through admission, routing and engines to its outcome. */
final class ReplayRequest {

    private static final int CHAR_TOKENS = 64;
    private static final int MOST_ATTEMPTS = 4;
    private static final long RETRY_MILLIS = 100;

    private final TraceRequest traced;
    private final ReplayInstance instance;
    private final ReplayFleet engines;
    private final ReplayWorld world;
    private final long deadlineMillis;
    private final Set<String> excluded = new HashSet<>();
    private final String prompt;
    private Permit permit;
    private int attempts;
    private long firstTokenMillis = -1;
    private boolean done;
    private String attemptId = "";
    private ReplayEngine engine;
    private ReplaySequence sequence;
    private Target decodeTarget;

    ReplayRequest(TraceRequest traced, ReplayInstance instance, ReplayFleet engines, ReplayWorld world) {
        this.traced = traced;
        this.instance = instance;
        this.engines = engines;
        this.world = world;
        this.deadlineMillis = nowMillis() + traced.deadlineMillis();
        this.prompt = prompt(traced);
    }

    void start() {
        CatalogueEntry entry = new CatalogueEntry(
                traced.group() + "/" + traced.workClass(),
                "owner",
                traced.workClass(),
                traced.group(),
                traced.repeatable(),
                traced.deadlineMillis(),
                Limits.NONE);
        CallerRequest request = new CallerRequest(
                traced.id(),
                entry,
                new Operation.Generate(prompt, traced.promptTokens(), traced.maxTokens()),
                Optional.empty(),
                0,
                nowMillis(),
                deadlineMillis);
        world.time().schedule(traced.deadlineMillis(), this::giveUp);
        instance.admission().admit(request, decision -> decision.match(this::granted, _refusal -> refuse()));
    }

    private boolean granted(Permit granted) {
        permit = granted;
        if (done) {
            granted.release(-1);
        } else {
            dispatch();
        }
        return true;
    }

    private void dispatch() {
        if (done) {
            return;
        }
        if (attempts++ >= MOST_ATTEMPTS) {
            fail();
            return;
        }
        Route route = instance.router().route(query());
        if (route instanceof Route.Chosen chosen) {
            send(chosen);
        } else {
            world.time().schedule(RETRY_MILLIS, this::dispatch);
        }
    }

    private void send(Route.Chosen chosen) {
        if (chosen.prefillTarget().isEmpty()) {
            submit(chosen.target(), false, false);
            return;
        }
        decodeTarget = chosen.target();
        submit(chosen.prefillTarget().get(), true, false);
    }

    private void submit(Target target, boolean prefillOnly, boolean imported) {
        attemptId = traced.id() + "/" + attempts + (imported ? "d" : "");
        engine = engines.engines().get(target.name());
        long sentMillis = nowMillis();
        String id = attemptId;
        sequence = new ReplaySequence(traced, prefillOnly, imported, new ReplaySequence.Listener() {
            @Override
            public void onFirstToken() {
                instance.router().onFirstToken(id, nowMillis() - sentMillis);
                if (!prefillOnly) {
                    firstToken();
                }
            }

            @Override
            public void onComplete(TokenUsage usage) {
                instance.router().onCompleted(id, usage);
                completed(usage, prefillOnly, imported);
            }

            @Override
            public void onFailure(TargetFailure failure) {
                failed(id, target, failure);
            }
        });
        instance.router().onSent(id, target, query());
        engine.submit(sequence).ifPresent(failure -> failed(id, target, failure));
    }

    private void firstToken() {
        if (firstTokenMillis < 0) {
            firstTokenMillis = nowMillis();
            world.tally().onFirstToken(traced, firstTokenMillis);
        }
    }

    private void completed(TokenUsage usage, boolean prefillOnly, boolean imported) {
        if (!imported) {
            world.tally().onPrompt(usage.promptTokens(), usage.cachedPromptTokens());
        }
        attemptId = "";
        if (!prefillOnly) {
            finish();
            return;
        }
        Target decode = decodeTarget;
        long transferMillis = Math.round(EngineCost.STANDARD.kvTransferMillis(traced.promptTokens()));
        world.time().schedule(transferMillis, () -> {
            if (!done) {
                submit(decode, false, true);
            }
        });
    }

    private void failed(String id, Target target, TargetFailure failure) {
        instance.router().onFailed(id, failure);
        attemptId = "";
        excluded.add(target.name());
        if (traced.repeatable() || failure.provesNotRun()) {
            world.time().schedule(1, this::dispatch);
        } else {
            fail();
        }
    }

    private void finish() {
        done = true;
        permit.release((long) traced.promptTokens() + traced.outputTokens());
        world.tally().onAnswer(traced, nowMillis(), firstTokenMillis);
    }

    private boolean refuse() {
        if (!done) {
            done = true;
            world.tally().onRefused();
        }
        return false;
    }

    private void fail() {
        done = true;
        world.tally().onFailed();
        permit.release(-1);
    }

    /** Callers leave when their deadline passes; what still runs for them is cancelled. */
    private void giveUp() {
        if (done) {
            return;
        }
        done = true;
        world.tally().onLate();
        if (!attemptId.isEmpty()) {
            engine.cancel(sequence);
            instance.router().onCancelled(attemptId);
        }
        if (permit != null) {
            permit.release(-1);
        }
    }

    private RouteQuery query() {
        return new RouteQuery(
                traced.group(),
                traced.workClass(),
                prompt,
                traced.promptTokens(),
                traced.maxTokens(),
                Math.max(0, deadlineMillis - nowMillis()),
                excluded.size() < 3 || traced.workClass() == WorkClass.URGENT ? excluded : Set.of(),
                false);
    }

    /** One character stands for 64 tokens; requests with one prefix share its characters. */
    private static String prompt(TraceRequest traced) {
        String shared = repeat(traced.prefix(), traced.prefixTokens() / CHAR_TOKENS);
        return shared + repeat("#" + traced.id(), (traced.promptTokens() - traced.prefixTokens()) / CHAR_TOKENS);
    }

    private static String repeat(String text, int length) {
        return text.repeat(length / text.length() + 1).substring(0, length);
    }

    private long nowMillis() {
        return world.time().monotonicMillis();
    }
}
