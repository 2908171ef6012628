package org.dogwoodwinch.relay;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Set;
import org.dogwoodwinch.forwarding.CrashCorrelator;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.Quarantine.Status;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a call that crashes targets from crashing more of them. Used on one event loop alone.
 *
 * <p>Failure: a call crashes each target that begins to run it, and its caller sends it again through any instance. What
 * was under way on a target that is found gone is suspect here and, through the peers, everywhere; a suspect runs apart
 * from other suspects, so that the next crash tells the guilty one, and its end in order clears it.
 */
final class Suspicions {

    private static final Logger log = LoggerFactory.getLogger(Suspicions.class);

    /** A target's entry lapses some seconds after its last word; a loss longer ago had another cause. */
    private static final long CORRELATION_WINDOW_MILLIS = 6_000;

    private final Quarantine quarantine;
    private final TimeSource time;
    private final CrashCorrelator crashCorrelator = new CrashCorrelator(CORRELATION_WINDOW_MILLIS);

    Suspicions(Quarantine quarantine, TimeSource time) {
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Tells equal calls from others: method, path and body are the same each time a caller sends one again. */
    static long fingerprint(IncomingCall call) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(call.method().name(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(call.uri(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putBytes(call.body().toByteArray());
        return hasher.hash().asLong();
    }

    boolean isQuarantined(long fingerprint) {
        return quarantine.statusOf(fingerprint) == Status.QUARANTINED;
    }

    /** The targets that a call should not go to: a suspect not to where another one runs. */
    Set<String> targetsToAvoid(long fingerprint) {
        return quarantine.statusOf(fingerprint) == Status.CLEAR ? Set.of() : quarantine.trialTargets();
    }

    void recordSend(long fingerprint, String attemptId, String targetId) {
        if (quarantine.statusOf(fingerprint) != Status.CLEAR) {
            quarantine.onTrialStarted(fingerprint, attemptId, targetId);
        }
    }

    void recordEnd(long fingerprint, String attemptId, boolean completed) {
        quarantine.onAttemptEnded(fingerprint, attemptId, completed);
    }

    /** An answer was lost with its connection: that alone proves nothing of the target. */
    void recordLostCall(long fingerprint, String attemptId, String targetId) {
        long nowMillis = time.monotonicMillis();
        crashCorrelator.expire(nowMillis);
        crashCorrelator.recordLostCall(targetId, new LostCall(fingerprint, attemptId, nowMillis));
    }

    void handleTargetLost(String targetId) {
        for (LostCall call : crashCorrelator.takeCrashedCalls(targetId, time.monotonicMillis())) {
            quarantine.onCrash(call.fingerprint(), call.attemptId(), targetId);
            LogEvent.of("crash_suspect")
                    .with("request", call.attemptId())
                    .with("fingerprint", SuspectRegistry.formatFingerprint(call.fingerprint()))
                    .with("target", targetId)
                    .with("standing", quarantine.statusOf(call.fingerprint()))
                    .info(log);
        }
    }
}
