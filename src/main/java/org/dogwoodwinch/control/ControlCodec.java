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

/** Encodes records of the control stream as JSON and decodes them. Thread-safe. */
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
     * Encodes a record.
     *
     * @param record the record, not null
     * @return one line of JSON
     */
    public String encode(ControlRecord record) {
        try {
            return MAPPER.writerFor(ControlRecord.class).writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the control record", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param payload the payload of a log record, not null
     * @return the record, or empty if this version cannot decode it, for instance because it does not know its kind.
     *     The result depends on the payload alone, so every instance of the same version gets the same result.
     */
    public Optional<ControlRecord> decode(String payload) {
        try {
            return Optional.ofNullable(MAPPER.readValue(payload, ControlRecord.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
