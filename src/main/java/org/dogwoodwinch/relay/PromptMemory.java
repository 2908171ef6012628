package org.dogwoodwinch.relay;

import java.util.Objects;

/**
 * The memory of a read prompt, kept by the target that read it until it is taken once.
 *
 * @param address the address of that target, not null
 * @param handle names the memory there, not null
 */
public record PromptMemory(String address, String handle) {

    /** Validates the components. */
    public PromptMemory {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(handle, "handle");
    }
}
