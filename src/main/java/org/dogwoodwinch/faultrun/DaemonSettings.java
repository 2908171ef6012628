package org.dogwoodwinch.faultrun;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a run says to one daemon.
 *
 * @param name the instance's name, not null
 * @param dataCentre its data centre, not null
 * @param callersPort where it takes calls
 * @param operatorsPort where operators reach it
 * @param peersPort where the other daemons reach it
 * @param logPort where it reaches the log
 * @param instanceListPort where it reaches the instance list
 * @param weightStorePort where it reaches the weight store
 * @param secretFile the secret that all daemons share, not null
 * @param homeIndex its place among the homes of owners' limits
 * @param homesCount how many homes there are
 */
record DaemonSettings(
        String name,
        String dataCentre,
        int callersPort,
        int operatorsPort,
        int peersPort,
        int logPort,
        int instanceListPort,
        int weightStorePort,
        Path secretFile,
        int homeIndex,
        int homesCount) {

    private static final String LOOPBACK = "http://127.0.0.1:";
    private static final long DRAIN_MILLIS = 15_000;
    private static final long NOT_READY_MILLIS = 500;

    /**
     * Writes the settings file.
     *
     * @param file where to, not null
     * @throws IOException if it cannot be written
     */
    void write(Path file) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode root = mapper.createObjectNode();
        root.putObject("instance").put("name", name).put("dataCentre", dataCentre);
        root.putObject("callers").put("port", callersPort);
        root.putObject("operators").put("port", operatorsPort);
        root.putObject("peers").put("port", peersPort).put("secretFile", secretFile.toString());
        root.putObject("admission").put("limitHomeIndex", homeIndex).put("limitHomesCount", homesCount);
        root.putObject("platform")
                .put("logUrl", LOOPBACK + logPort)
                .put("instanceListUrl", LOOPBACK + instanceListPort)
                .put("weightStoreUrl", LOOPBACK + weightStorePort);
        root.putObject("stop").put("notReadyMillis", NOT_READY_MILLIS).put("drainMillis", DRAIN_MILLIS);
        Files.writeString(file, mapper.writerWithDefaultPrettyPrinter().writeValueAsString(root));
    }
}
