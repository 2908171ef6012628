package org.dogwoodwinch.relay;

import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetRests;

/** Records what targets state about themselves for one instance only, without sending it to peers. */
public record LocalStatementRecorder(TargetDirectory directory, TargetRests rests, Consumer<String> onLeaving)
        implements TargetStatements {

    @Override
    public void recordLeaving(String targetId, long startedMillis) {
        if (directory.recordLeaving(targetId, startedMillis)) {
            onLeaving.accept(targetId);
        }
    }

    @Override
    public void recordRest(String targetId, long startedMillis, long restMillis) {
        rests.recordRest(targetId, startedMillis, restMillis);
    }

    @Override
    public boolean isResting(String targetId, long startedMillis) {
        return rests.isResting(targetId, startedMillis);
    }
}
