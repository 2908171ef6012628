package org.dogwoodwinch.request;

import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.ServiceCall;

/** Converts a caller's request to queries for the router and calls to targets. */
final class TargetCalls {

    private static final int URGENT_PRIORITY = 3;
    private static final int STANDARD_PRIORITY = 2;
    private static final int LONG_READ_PRIORITY = 1;

    private TargetCalls() {}

    static RouteQuery routeQuery(CallerRequest request, long nowMillis, Set<String> excluded, boolean alone) {
        String group = request.entry().group();
        WorkClass workClass = request.entry().workClass();
        long remainingMillis = request.remainingMillis(nowMillis);
        return request.operation()
                .match(
                        work -> new RouteQuery(
                                group,
                                workClass,
                                work.prompt(),
                                work.promptTokens(),
                                work.maxTokens(),
                                remainingMillis,
                                excluded,
                                alone),
                        _service -> new RouteQuery(group, workClass, "", 0, 0, remainingMillis, excluded, alone));
    }

    static GenerateCall generate(
            CallerRequest request,
            Operation.Generate work,
            String model,
            String attemptId,
            long nowMillis,
            Optional<KvReference> kvReference) {
        return new GenerateCall(
                attemptId,
                model,
                work.prompt(),
                work.maxTokens(),
                priority(request.entry().workClass()),
                request.remainingMillis(nowMillis),
                false,
                kvReference);
    }

    static GenerateCall prefill(
            CallerRequest request, Operation.Generate work, String model, String attemptId, long nowMillis) {
        return new GenerateCall(
                attemptId,
                model,
                work.prompt(),
                work.maxTokens(),
                priority(request.entry().workClass()),
                request.remainingMillis(nowMillis),
                true,
                Optional.empty());
    }

    static ServiceCall service(CallerRequest request, Operation.Service work, String attemptId, long nowMillis) {
        return new ServiceCall(
                attemptId,
                work.method(),
                work.path(),
                work.contentType(),
                work.body(),
                request.remainingMillis(nowMillis));
    }

    private static int priority(WorkClass workClass) {
        return switch (workClass) {
            case URGENT -> URGENT_PRIORITY;
            case STANDARD -> STANDARD_PRIORITY;
            case LONG_READ -> LONG_READ_PRIORITY;
        };
    }
}
