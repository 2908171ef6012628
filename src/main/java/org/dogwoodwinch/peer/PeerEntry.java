package org.dogwoodwinch.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One entry of a message.
 *
 * @param origin the name of the instance that published it
 * @param startedMillis when that instance started, in wall-clock milliseconds; distinguishes its incarnations
 * @param topic the topic's name
 * @param key the key within the topic
 * @param version increases with each publication by this incarnation of its origin
 * @param ageMillis its age, in milliseconds
 * @param keepMillis its time to live from publication, in milliseconds
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

    /** Returns a copy with the time added that the entry was held or in transit. */
    PeerEntry withAddedAge(long millis) {
        return new PeerEntry(
                origin, startedMillis, topic, key, version, ageMillis + Math.max(0, millis), keepMillis, payload);
    }
}
