package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Set;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.StreamListener;

/**
 * Notices that a followed stream went on with a snapshot because its records were no longer retained, so that changes
 * between the records before it and the snapshot were not seen.
 *
 * <p>The snapshot of a store that came back from a copy is no such gap: each process has read what the store lost, and
 * an entry that only the copy has is not listed again.
 */
final class SnapshotGapListener implements StreamListener {

    private final StreamListener listener;
    private final Runnable onGap;
    private boolean hasSnapshot;
    private boolean cameBack;

    /**
     * Creates a listener.
     *
     * @param listener receives all calls, not null
     * @param onGap called after a snapshot that leaves a gap was passed on, not null
     */
    SnapshotGapListener(StreamListener listener, Runnable onGap) {
        this.listener = Objects.requireNonNull(listener, "listener");
        this.onGap = Objects.requireNonNull(onGap, "onGap");
    }

    @Override
    public void onRecord(KeyedRecord record) {
        listener.onRecord(record);
    }

    @Override
    public void onSnapshotComplete(Set<String> keys, long endOffset) {
        listener.onSnapshotComplete(keys, endOffset);
        if (hasSnapshot && !cameBack) {
            onGap.run();
        }
        hasSnapshot = true;
        cameBack = false;
    }

    @Override
    public void onStoreCameBack() {
        cameBack = true;
        listener.onStoreCameBack();
    }

    @Override
    public void onReconnected() {
        listener.onReconnected();
    }

    @Override
    public void onDisconnected(String reason) {
        listener.onDisconnected(reason);
    }
}
