package org.dogwoodwinch.measure;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;

/** Finds the project's folder from where this class was loaded, so that measurements run from any folder. */
final class ProjectFolder {

    private ProjectFolder() {}

    /**
     * Returns the folder that holds {@code src} and {@code bin}.
     *
     * @return the folder
     */
    static Path find() {
        try {
            URI classes = ProjectFolder.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI();
            return Path.of(classes).resolve("../..").normalize();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
