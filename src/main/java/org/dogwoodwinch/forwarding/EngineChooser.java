package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses among model engines by the expected time to the first event: what waits there, what of the prompt is not kept
 * there, and the way of its memory where one engine reads and another generates.
 *
 * <p>The home of a prompt's last shared part is the engine that ranks first for it on all instances alike. Where nobody
 * keeps the part yet, two instances would read it at two engines; the price of reading it elsewhere than at its home
 * keeps them together.
 */
public final class EngineChooser implements TargetChooser {

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_OF_MEGABIT = 1_000;

    private final TargetDirectory directory;
    private final LoadBook loads;
    private final PartIndex parts;
    private final ReadRates rates;
    private final EngineChoicePolicy policy;
    private final TargetChooser plain;
    private final String dataCentre;

    /**
     * Creates a chooser.
     *
     * @param directory the targets, not null
     * @param loads what is under way at them, not null
     * @param parts which parts they keep, not null
     * @param rates how fast they read, not null
     * @param policy the prices, not null
     * @param plain chooses where a call names no prompt, not null
     * @param dataCentre where this instance stands, not null
     */
    public EngineChooser(
            TargetDirectory directory,
            LoadBook loads,
            PartIndex parts,
            ReadRates rates,
            EngineChoicePolicy policy,
            TargetChooser plain,
            String dataCentre) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.rates = Objects.requireNonNull(rates, "rates");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.plain = Objects.requireNonNull(plain, "plain");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    }

    @Override
    public Optional<Plan> choose(ChoiceQuery query) {
        if (query.prompt().isEmpty() || query.service().engine().isEmpty()) {
            return plain.choose(query);
        }
        Prompt prompt = query.prompt().get();
        List<Incarnation> ready = directory.ready(query.service().name());
        String key = homeKey(prompt);
        String home = home(ready, key);
        Incarnation best = null;
        double least = Double.MAX_VALUE;
        for (Incarnation engine : ready) {
            if (query.triedIds().contains(engine.id())) {
                continue;
            }
            double cost = readMillis(engine, prompt, engine.id().equals(home)) + handOverMillis(engine, query, prompt);
            if (cost < least) {
                least = cost;
                best = engine;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        if (best.stage() != Stage.PREFILL) {
            return Optional.of(new Plan(best, Optional.empty()));
        }
        Incarnation reader = best;
        return chooseRunner(query, reader).map(runner -> new Plan(runner, Optional.of(reader)));
    }

    /**
     * Chooses the engine that generates after another has read the prompt.
     *
     * @param query the call, not null
     * @param reader the engine that reads, not null
     * @return the engine with the least under way, one near the reader first
     */
    @Override
    public Optional<Incarnation> chooseRunner(ChoiceQuery query, Incarnation reader) {
        Incarnation best = null;
        double least = Double.MAX_VALUE;
        for (Incarnation engine : directory.ready(query.service().name())) {
            if (engine.stage() == Stage.PREFILL || query.triedIds().contains(engine.id())) {
                continue;
            }
            double cost = waitMillis(engine) + loads.at(engine.id()).callsCount() * policy.runningCallMillis();
            if (!engine.dataCentre().equals(reader.dataCentre())) {
                cost += policy.borderMillis();
            }
            if (!engine.dataCentre().equals(dataCentre)) {
                cost += policy.borderMillis();
            }
            if (cost < least) {
                least = cost;
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }

    /** The tokens that an engine would have to read. */
    @Override
    public int unreadTokens(Incarnation engine, Prompt prompt) {
        return prompt.inputTokens() - parts.keptTokens(engine.id(), prompt);
    }

    private double readMillis(Incarnation engine, Prompt prompt, boolean home) {
        int unread = unreadTokens(engine, prompt);
        double price = unread;
        if (!home) {
            int own = prompt.parts().isEmpty()
                    ? unread
                    : prompt.parts().get(prompt.parts().size() - 1).tokens();
            price += Math.max(0, unread - own) * policy.awayFromHomeRatio();
        }
        double border = engine.dataCentre().equals(dataCentre) ? 0 : policy.borderMillis();
        return waitMillis(engine) + price / rate(engine) + border;
    }

    private double waitMillis(Incarnation engine) {
        return loads.at(engine.id()).unreadTokens() / rate(engine);
    }

    private double rate(Incarnation engine) {
        return rates.tokensPerMilli(engine.service(), engine.stage());
    }

    private double handOverMillis(Incarnation engine, ChoiceQuery query, Prompt prompt) {
        if (engine.stage() != Stage.PREFILL) {
            return loads.at(engine.id()).callsCount() * policy.runningCallMillis();
        }
        EngineTraits traits = query.service().engine().orElseThrow();
        double bits = prompt.inputTokens() * (double) traits.kvTokenBytes() * BITS_PER_BYTE;
        double link = Math.max(1, traits.linkMbitPerSecond() * BITS_PER_MILLI_OF_MEGABIT);
        return policy.handOverMillis() + bits / link;
    }

    /** The last part that other requests share, or the only one. */
    private static String homeKey(Prompt prompt) {
        int count = prompt.parts().size();
        if (count == 0) {
            return "";
        }
        return prompt.parts().get(Math.max(0, count - 2)).id();
    }

    private String home(List<Incarnation> ready, String key) {
        String home = "";
        double highest = -1;
        for (Incarnation engine : ready) {
            double weight = engine.stage() == Stage.PREFILL ? policy.prefillWeight() : 1;
            double score = Rendezvous.score(key, engine.id(), weight);
            if (score > highest) {
                highest = score;
                home = engine.id();
            }
        }
        return home;
    }
}
