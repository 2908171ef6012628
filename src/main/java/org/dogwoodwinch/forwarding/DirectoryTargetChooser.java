package org.dogwoodwinch.forwarding;

import java.util.Objects;

/** A chooser among the targets of a directory, which also answers whether a chosen target may still receive its call. */
abstract class DirectoryTargetChooser implements TargetChooser {

    private final TargetDirectory directory;

    /**
     * Creates a chooser.
     *
     * @param directory the targets, not null
     */
    DirectoryTargetChooser(TargetDirectory directory) {
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    /** Returns the targets. */
    final TargetDirectory directory() {
        return directory;
    }

    @Override
    public final boolean isCurrent(Incarnation target) {
        return directory.isCurrent(target);
    }

    @Override
    public final SendCheck checkSend(Incarnation target) {
        return directory.checkSend(target);
    }

    @Override
    public final long millisUntilCapacity(TargetQuery query) {
        return directory.millisUntilCapacity(query);
    }
}
