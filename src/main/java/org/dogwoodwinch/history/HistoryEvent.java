package org.dogwoodwinch.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Something that happened in a run, as one line of its history. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RequestEvent.Invoked.class, name = "invoked"),
    @JsonSubTypes.Type(value = RequestEvent.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = RequestEvent.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = RequestEvent.Lost.class, name = "lost"),
    @JsonSubTypes.Type(value = AttemptEvent.Executed.class, name = "executed"),
    @JsonSubTypes.Type(value = AttemptEvent.Declined.class, name = "declined"),
    @JsonSubTypes.Type(value = AttemptEvent.Cut.class, name = "cut"),
    @JsonSubTypes.Type(value = OrderEvent.AuthorityTaken.class, name = "authorityTaken"),
    @JsonSubTypes.Type(value = OrderEvent.Intended.class, name = "intended"),
    @JsonSubTypes.Type(value = OrderEvent.Sent.class, name = "ordered"),
    @JsonSubTypes.Type(value = OrderEvent.Applied.class, name = "applied"),
    @JsonSubTypes.Type(value = OrderEvent.Fenced.class, name = "fenced"),
    @JsonSubTypes.Type(value = CatalogueEvent.Edited.class, name = "edited"),
    @JsonSubTypes.Type(value = CatalogueEvent.InForce.class, name = "inForce"),
    @JsonSubTypes.Type(value = FleetEvent.TargetLeaving.class, name = "targetLeaving"),
    @JsonSubTypes.Type(value = FleetEvent.TargetBack.class, name = "targetBack"),
    @JsonSubTypes.Type(value = FleetEvent.InstanceStarted.class, name = "instanceStarted"),
    @JsonSubTypes.Type(value = FleetEvent.PlannedStop.class, name = "plannedStop"),
    @JsonSubTypes.Type(value = FleetEvent.InstanceEnded.class, name = "instanceEnded"),
    @JsonSubTypes.Type(value = FleetEvent.FaultBegan.class, name = "faultBegan"),
    @JsonSubTypes.Type(value = FleetEvent.FaultEnded.class, name = "faultEnded")
})
public sealed interface HistoryEvent permits RequestEvent, AttemptEvent, OrderEvent, CatalogueEvent, FleetEvent {

    /**
     * Returns when it happened, on the one clock that all parts of the run share.
     *
     * @return milliseconds; virtual in paused-clock runs, time of day in runs of processes on one machine
     */
    long atMillis();
}
