package org.dogwoodwinch.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;

/**
 * The payload of {@link org.dogwoodwinch.peer.PeerTopic#LOAD}: what one instance recently sent to targets.
 *
 * @param incarnation differs after a restart of the instance, whose totals then start from zero
 * @param targets the targets that the instance recently sent requests to, not null
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"incarnation", "targets"})
public record PeerLoad(long incarnation, List<SentTotals> targets) {

    /** Copies the list. */
    public PeerLoad {
        targets = List.copyOf(targets);
    }
}
