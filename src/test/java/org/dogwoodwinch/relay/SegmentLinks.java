package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CrashReport;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;

/** Connects the guards of the instances of a test: what one tells, all others hear at once, and one store serves all. */
final class SegmentLinks implements SegmentRecords {

    final Map<SegmentId, Integer> trialsBySegment = new HashMap<>();

    /** Whether the store does not answer claims until {@link #answerClaims}. */
    boolean delaysClaims;

    /** Receives the name of each instance that tells of a begin. */
    Consumer<String> onBegin = _instance -> {};

    private final Map<String, SegmentGuard> guards = new LinkedHashMap<>();
    private Runnable delayedClaims = () -> {};

    void add(String instance, SegmentGuard guard) {
        guards.put(instance, guard);
    }

    void answerClaims() {
        delaysClaims = false;
        delayedClaims.run();
    }

    SegmentNews newsOf(String instance) {
        return new SegmentNews() {
            @Override
            public void tellCrash(CrashReport report, long ageMillis) {
                toOthers(instance, (guard, from) -> guard.onPeerCrash(report, ageMillis, from));
            }

            @Override
            public void tellBegin(SegmentId segment, long ageMillis) {
                onBegin.accept(instance);
                toOthers(instance, (guard, from) -> guard.onPeerBegin(segment, ageMillis, from));
            }

            @Override
            public void tellTrial(SegmentId segment, int trialNumber) {
                toOthers(instance, (guard, _from) -> guard.onPeerTrial(segment, trialNumber, 0));
            }

            @Override
            public void tellHeld(HeldSegment held) {
                toOthers(instance, (guard, from) -> guard.onPeerHeld(held, 0, from));
            }

            @Override
            public void tellLift(SegmentId segment) {
                toOthers(instance, (guard, from) -> guard.onPeerLift(segment, 0, from));
            }
        };
    }

    private void toOthers(String instance, BiConsumer<SegmentGuard, String> message) {
        guards.forEach((name, guard) -> {
            if (!name.equals(instance)) {
                message.accept(guard, instance);
            }
        });
    }

    @Override
    public void keep(HeldSegment held) {
        trialsBySegment.putIfAbsent(held.segment(), held.trialsCount());
    }

    @Override
    public void forget(SegmentId segment) {
        trialsBySegment.remove(segment);
    }

    @Override
    public void claimTrial(HeldSegment held, int trialNumber, Consumer<Boolean> onDecided) {
        if (delaysClaims) {
            delayedClaims = () -> claimTrial(held, trialNumber, onDecided);
            return;
        }
        boolean granted = trialsBySegment.getOrDefault(held.segment(), 0) < trialNumber;
        if (granted) {
            trialsBySegment.put(held.segment(), trialNumber);
        }
        onDecided.accept(granted);
    }
}
