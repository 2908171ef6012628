package org.dogwoodwinch.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One item in a message.
 *
 * @param origin the instance that says it
 * @param startedMillis when that instance started, in milliseconds of its time of day; tells its starts apart
 * @param topic the topic's name
 * @param key which one
 * @param version grows with each publication by this start of its origin
 * @param ageMillis how old it is, in milliseconds
 * @param keepMillis how long it is kept from when it was published, in milliseconds
 * @param payload the content
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"origin", "startedMillis", "topic", "key", "version", "ageMillis", "keepMillis", "payload"})
record PeerEntry(
        String origin,
        long startedMillis,
        String topic,
        String key,
        long version,
        long ageMillis,
        long keepMillis,
        Bytes payload) {

    /** This entry after it was held, or was on its way, for some time. */
    PeerEntry withAddedAge(long millis) {
        return new PeerEntry(
                origin, startedMillis, topic, key, version, ageMillis + Math.max(0, millis), keepMillis, payload);
    }
}
