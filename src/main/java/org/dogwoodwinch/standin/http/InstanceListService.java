package org.dogwoodwinch.standin.http;

import java.util.Objects;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.http.TargetJson;

/** Serves a stand-in instance list over HTTP; {@code POST /instances} puts a line in or replaces it by name. */
final class InstanceListService implements StandInService {

    private static final String INSTANCES = "/instances";
    private static final int NOT_FOUND = 404;
    private static final int NO_CONTENT = 204;

    private final StandInInstanceList list;

    /**
     * Creates a service.
     *
     * @param list the list, not null
     */
    InstanceListService(StandInInstanceList list) {
        this.list = Objects.requireNonNull(list, "list");
    }

    @Override
    public void handle(StandInCall call, StandInReply reply) {
        String path = call.path();
        if (!path.startsWith(INSTANCES)) {
            reply.whole(NOT_FOUND, "text/plain", new byte[0]);
            return;
        }
        switch (call.method()) {
            case "GET" -> reply.json(list.shown());
            case "POST" -> {
                list.put(TargetJson.read(call.body().toByteArray(), ListedInstance.class)
                        .orElseThrow());
                reply.whole(NO_CONTENT, "text/plain", new byte[0]);
            }
            default -> {
                list.remove(path.substring(INSTANCES.length() + 1));
                reply.whole(NO_CONTENT, "text/plain", new byte[0]);
            }
        }
    }
}
