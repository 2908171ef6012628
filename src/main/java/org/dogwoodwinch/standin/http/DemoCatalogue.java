package org.dogwoodwinch.standin.http;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.CatalogueDocument;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.catalogue.WorkClass;

/** The catalogue of the demo and of measurements: two owners, two engine groups, one plain service. */
public final class DemoCatalogue {

    /** The bearer token of the owner of bookings. */
    public static final String BOOKING_TOKEN = "demo-token-of-booking";

    /** The bearer token of the owner of compliance. */
    public static final String COMPLIANCE_TOKEN = "demo-token-of-compliance";

    /** An urgent entry of the first owner. */
    public static final String SLOT_CONFIRMATION = "slot-confirmation";

    /** A long read of the second owner. */
    public static final String CENSOR_SUMMARY = "censor-summary";

    /** A plain service of the second owner whose calls may not be repeated. */
    public static final String SCRIPT_CHECK = "script-check";

    private static final long URGENT_MILLIS = 30_000;
    private static final long LONG_MILLIS = 600_000;

    private DemoCatalogue() {}

    /**
     * Returns the catalogue as a first edit.
     *
     * @return the JSON that operators would hand in
     */
    public static String document() {
        CatalogueDocument document = new CatalogueDocument(
                Catalogue.NO_REVISION,
                List.of(owner("booking", BOOKING_TOKEN), owner("compliance", COMPLIANCE_TOKEN)),
                List.of(engines("booking"), engines("reading"), service(SCRIPT_CHECK)),
                List.of(
                        entry(SLOT_CONFIRMATION, "booking", WorkClass.URGENT, "booking", true, URGENT_MILLIS),
                        entry(CENSOR_SUMMARY, "compliance", WorkClass.LONG_READ, "reading", true, LONG_MILLIS),
                        entry(SCRIPT_CHECK, "compliance", WorkClass.STANDARD, SCRIPT_CHECK, false, URGENT_MILLIS)));
        return new CatalogueCodec().write(document.toCatalogue());
    }

    private static Owner owner(String name, String token) {
        String hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString();
        return new Owner(name, List.of(hash), Limits.NONE);
    }

    private static TargetGroup engines(String name) {
        return new TargetGroup(name, TargetGroup.Kind.ENGINE, name + "-model", true);
    }

    private static TargetGroup service(String name) {
        return new TargetGroup(name, TargetGroup.Kind.SERVICE, "", false);
    }

    private static CatalogueEntry entry(
            String name, String owner, WorkClass workClass, String group, boolean repeatable, long deadlineMillis) {
        return new CatalogueEntry(name, owner, workClass, group, repeatable, deadlineMillis, Limits.NONE);
    }
}
