package org.dogwoodwinch.relay;

import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.TargetDirectory;

/** Records what targets state about themselves for one instance only, without sending it to peers. */
public record LocalStatementRecorder(TargetDirectory directory, Consumer<String> onLeaving)
        implements TargetStatements {

    @Override
    public void recordLeaving(String targetId, long startedMillis) {
        if (directory.recordLeaving(targetId, startedMillis)) {
            onLeaving.accept(targetId);
        }
    }
}
