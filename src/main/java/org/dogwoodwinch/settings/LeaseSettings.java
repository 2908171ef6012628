package org.dogwoodwinch.settings;

import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.authority.OrderPolicy;

/**
 * Leases and orders.
 *
 * @param termMillis how long a lease is good from before its renewal was sent
 * @param marginMillis how long before its end the holder stops, and how long after it a claimant waits
 * @param renewMillis time between renewals
 * @param orderTimeoutMillis how long an order to an engine may take
 */
public record LeaseSettings(long termMillis, long marginMillis, long renewMillis, long orderTimeoutMillis) {

    static LeaseSettings read(SettingsSection section) {
        LeaseSettings settings = new LeaseSettings(
                section.wholeNumber("termMillis", 500, 600_000, LeasePolicy.DEFAULT.termMillis()),
                section.wholeNumber("marginMillis", 10, 60_000, LeasePolicy.DEFAULT.marginMillis()),
                section.wholeNumber("renewMillis", 50, 300_000, LeasePolicy.DEFAULT.renewMillis()),
                section.wholeNumber("orderTimeoutMillis", 10, 60_000, OrderPolicy.DEFAULT.orderTimeoutMillis()));
        if (settings.renewMillis() + settings.marginMillis() >= settings.termMillis()) {
            section.tell("renewMillis", "renewMillis and marginMillis together must be less than termMillis");
        }
        if (settings.orderTimeoutMillis() + settings.marginMillis() >= settings.termMillis()) {
            section.tell("orderTimeoutMillis", "orderTimeoutMillis and marginMillis must fit into termMillis");
        }
        return settings;
    }
}
