package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.TargetHealth;

/** Records connection failures and responses of targets for one instance only, without sending them to peers. */
public record LocalConnectionFailureRecorder(TargetHealth health) implements ConnectionAborts {

    @Override
    public long recordAbort(String targetId) {
        return health.recordBrokenConnection(targetId);
    }

    @Override
    public void recordResponse(String targetId) {
        health.recordAnswer(targetId);
    }

    @Override
    public void removeTarget(String targetId) {
        health.remove(targetId);
    }
}
