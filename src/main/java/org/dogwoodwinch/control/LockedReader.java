package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.FollowerListener;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes what the follower reads to a {@link ControlReader} under the owner's lock, and logs outages, recoveries and
 * expired records for operators.
 */
final class LockedReader implements FollowerListener {

    private static final Logger log = LoggerFactory.getLogger(LockedReader.class);

    private final Object lock;
    private final ControlReader reader;
    private final Runnable afterRead;

    /**
     * Creates a reader.
     *
     * @param lock the owner's lock, not null
     * @param reader applies the records, not null
     * @param afterRead called under the lock after records, or an empty answer, were read from the log, not null
     */
    LockedReader(Object lock, ControlReader reader, Runnable afterRead) {
        this.lock = Objects.requireNonNull(lock, "lock");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.afterRead = Objects.requireNonNull(afterRead, "afterRead");
    }

    @Override
    public void onRecords(ReadResult.Records records) {
        synchronized (lock) {
            if (reader.isLogUnavailable()) {
                LogEvent.of("control_log_back").with("end", records.endOffset()).info(log);
            }
            reader.onRecords(records);
            afterRead.run();
        }
    }

    @Override
    public void onExpired(ReadResult.Expired expired) {
        synchronized (lock) {
            LogEvent.of("control_records_expired")
                    .with("read", reader.stateMachine().coveredOffset())
                    .with("first_retained", expired.firstRetainedOffset())
                    .warn(log);
            reader.onExpired(expired);
        }
    }

    @Override
    public void onUnavailable(String detail) {
        synchronized (lock) {
            if (!reader.isLogUnavailable()) {
                LogEvent.of("control_log_out").with("detail", detail).warn(log);
            }
            reader.onUnavailable(detail);
        }
    }
}
