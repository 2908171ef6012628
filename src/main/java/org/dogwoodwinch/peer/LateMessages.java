package org.dogwoodwinch.peer;

import java.util.HashMap;
import java.util.Map;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs when the messages of an instance start to arrive late, and when they arrive in time again. Not thread-safe. */
final class LateMessages {

    private static final Logger log = LoggerFactory.getLogger(LateMessages.class);

    /** Half of the age that a relay's update may have before an instance reads from the platform itself. */
    private static final long LATE_MILLIS = 500;

    private static final long RECOVERED_MILLIS = 200;

    private final Map<String, Long> longestMillisBySender = new HashMap<>();

    /** Records the transit time of a message that was just received. */
    void onMessage(String sender, long transitMillis) {
        Long longestMillis = longestMillisBySender.get(sender);
        if (longestMillis != null && transitMillis <= RECOVERED_MILLIS) {
            longestMillisBySender.remove(sender);
            LogEvent.of("peer_messages_in_time")
                    .with("peer", sender)
                    .with("longestWayMillis", longestMillis)
                    .info(log);
        } else if (longestMillis != null) {
            longestMillisBySender.put(sender, Math.max(longestMillis, transitMillis));
        } else if (transitMillis >= LATE_MILLIS) {
            longestMillisBySender.put(sender, transitMillis);
            LogEvent.of("peer_messages_late")
                    .with("peer", sender)
                    .with("wayMillis", transitMillis)
                    .info(log);
        }
    }
}
