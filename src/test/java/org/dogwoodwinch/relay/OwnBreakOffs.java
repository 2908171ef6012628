package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.TargetHealth;

/** Judges targets that break off calls for one instance alone, and tells nobody. */
public record OwnBreakOffs(TargetHealth health) implements BreakOffs {

    @Override
    public long brokeOff(String targetId) {
        return health.recordBrokenConnection(targetId);
    }

    @Override
    public void answered(String targetId) {
        health.recordAnswer(targetId);
    }

    @Override
    public void forget(String targetId) {
        health.remove(targetId);
    }
}
