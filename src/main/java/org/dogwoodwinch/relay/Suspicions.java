package org.dogwoodwinch.relay;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.dogwoodwinch.forwarding.CrashCorrelator;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.Quarantine.Status;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.request.TargetStart;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Prevents a call that crashes targets from crashing more of them. Confined to one event loop.
 *
 * <p>Failure: a call crashes each target that starts to run it, and its caller retries it through any instance. All
 * calls that were under way on a crashed target become suspects on this instance and, through peer messages, on all
 * others. Suspects run on separate targets, so that the next crash identifies the cause. A suspect that completes is
 * cleared.
 */
final class Suspicions {

    private static final Logger log = LoggerFactory.getLogger(Suspicions.class);

    /**
     * Maximum time between a lost call and the detection of the crash. A target's registration expires some seconds
     * after its last heartbeat, so an earlier loss has another cause.
     */
    private static final long CORRELATION_WINDOW_MILLIS = 6_000;

    private final Quarantine quarantine;
    private final BiConsumer<String, List<LostCall>> onCrash;
    private final TimeSource time;
    private final CrashCorrelator crashCorrelator = new CrashCorrelator(CORRELATION_WINDOW_MILLIS);

    /**
     * Creates an object that suspects nothing.
     *
     * @param quarantine the calls that are suspected by themselves, not null
     * @param onCrash receives each crash of a target's start with the calls that were lost with it, not null
     * @param time the clock, not null
     */
    Suspicions(Quarantine quarantine, BiConsumer<String, List<LostCall>> onCrash, TimeSource time) {
        this.onCrash = Objects.requireNonNull(onCrash, "onCrash");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Returns a fingerprint of the owner, host, method, URI and body, which are the same whenever a caller retries a
     * call. Equal requests of other callers are not the same: a success of one does not show that the other is
     * harmless.
     */
    static long fingerprint(IncomingCall call, Optional<String> ownerName) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        String host = call.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        hasher.putString(ownerName.orElse(""), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(host, StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(call.method().name(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(call.uri(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putBytes(call.body().toByteArray());
        return hasher.hash().asLong();
    }

    boolean isQuarantined(long fingerprint) {
        return quarantine.statusOf(fingerprint) == Status.QUARANTINED;
    }

    /** Returns for how long a call remains in quarantine, in milliseconds. */
    long quarantineRemainingMillis(long fingerprint) {
        return quarantine.quarantineRemainingMillis(fingerprint);
    }

    /** Returns whether a call may be sent again after it was lost: not if two targets have crashed under it. */
    boolean mayBeSentAgain(long fingerprint) {
        Status status = quarantine.statusOf(fingerprint);
        return status == Status.CLEAR || status == Status.SUSPECT;
    }

    /** Returns the targets to avoid: for a suspect, those that run other suspects. */
    Set<String> targetsToAvoid(long fingerprint) {
        return quarantine.statusOf(fingerprint) == Status.CLEAR ? Set.of() : quarantine.trialTargets();
    }

    void recordSend(long fingerprint, String attemptId, Incarnation target) {
        if (quarantine.statusOf(fingerprint) != Status.CLEAR) {
            quarantine.onTrialStarted(fingerprint, attemptId, startOf(target));
        }
    }

    void recordEnd(long fingerprint, String attemptId, boolean completed) {
        quarantine.onAttemptEnded(fingerprint, attemptId, completed);
    }

    /** Records a call that was lost with its connection, which alone does not prove a crash of the target. */
    void recordLostCall(
            long fingerprint,
            String attemptId,
            Incarnation target,
            List<SegmentId> sharedSegments,
            boolean answerBegun) {
        long nowMillis = time.monotonicMillis();
        crashCorrelator.expire(nowMillis);
        crashCorrelator.recordLostCall(
                target.id(),
                new LostCall(fingerprint, attemptId, startOf(target), nowMillis, sharedSegments, answerBegun));
    }

    /** Forgets the calls that were lost lately, because something else than a crash explains the losses. */
    void forgetLostCalls() {
        crashCorrelator.clear();
    }

    private static String startOf(Incarnation target) {
        return TargetStart.nameOf(target.id(), target.startedMillis());
    }

    void handleTargetLost(String targetId) {
        Map<String, List<LostCall>> callsByStart = new LinkedHashMap<>();
        for (LostCall call : crashCorrelator.takeCrashedCalls(targetId, time.monotonicMillis())) {
            callsByStart
                    .computeIfAbsent(call.targetStart(), _start -> new ArrayList<>())
                    .add(call);
            quarantine.onCrash(call.fingerprint(), call.attemptId(), call.targetStart());
            LogEvent.of("crash_suspect")
                    .with("request", call.attemptId())
                    .with("fingerprint", SuspectRegistry.formatFingerprint(call.fingerprint()))
                    .with("target", targetId)
                    .with("lostMillis", time.monotonicMillis() - call.lostAtMillis())
                    .with("segments", call.segments())
                    .with("answerBegun", call.answerBegun())
                    .with("standing", quarantine.statusOf(call.fingerprint()))
                    .info(log);
        }
        callsByStart.forEach(onCrash);
    }
}
