package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.TargetHealth;

/** Records connection failures and responses of targets for one instance only, without sending them to peers. */
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
