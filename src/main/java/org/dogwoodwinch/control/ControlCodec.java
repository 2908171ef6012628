package org.dogwoodwinch.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.util.Optional;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.controllog.ControlRecord;

/** Turns records of the control stream into JSON and back. Thread-safe. */
public final class ControlCodec {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .registerSubtypes(new NamedType(CatalogueEdit.class, "catalogue-edit"))
            .registerSubtypes(
                    new NamedType(Checkpoint.class, "checkpoint"),
                    new NamedType(AuthorityRecord.LeaseRenewal.class, "lease-renewal"),
                    new NamedType(AuthorityRecord.LeaseClaim.class, "lease-claim"),
                    new NamedType(AuthorityRecord.LeaseRelease.class, "lease-release"),
                    new NamedType(AuthorityRecord.OrderIntent.class, "order-intent"),
                    new NamedType(AuthorityRecord.OrderSettled.class, "order-settled"),
                    new NamedType(AuthorityRecord.PlanRequested.class, "plan-requested"),
                    new NamedType(AuthorityRecord.PlanMoved.class, "plan-moved"),
                    new NamedType(AuthorityRecord.PlanCancelled.class, "plan-cancelled"))
            .build();

    /**
     * Writes a record.
     *
     * @param record the record, not null
     * @return one line of JSON
     */
    public String encode(ControlRecord record) {
        try {
            return MAPPER.writerFor(ControlRecord.class).writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a control record is always writable", e);
        }
    }

    /**
     * Reads a record.
     *
     * @param payload what stands on the log, not null
     * @return the record, or empty where it is none that this version knows; every instance of one version decides the
     *     same, because nothing but the text is looked at
     */
    public Optional<ControlRecord> decode(String payload) {
        try {
            return Optional.ofNullable(MAPPER.readValue(payload, ControlRecord.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
