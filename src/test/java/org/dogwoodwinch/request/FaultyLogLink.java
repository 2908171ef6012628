package org.dogwoodwinch.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.VirtualTimeSource;

/** One instance's way to the log: cut off for a while, or losing answers after the append took effect. */
final class FaultyLogLink implements LogService {

    private static final long TIMEOUT_MILLIS = 300;

    private final VirtualTimeSource worldTime;
    private final ProcessClock process;
    private final LogService service;
    private boolean disconnected;
    private boolean requestsArrive;

    FaultyLogLink(VirtualTimeSource worldTime, ProcessClock process, LogService service) {
        this.worldTime = worldTime;
        this.process = process;
        this.service = service;
    }

    /** Cuts the link; one way only, what is sent still arrives and its answer is lost. */
    void setDisconnected(boolean enabled, boolean stillArrives) {
        disconnected = enabled;
        requestsArrive = stillArrives;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        CompletableFuture<AppendResult> answer = new CompletableFuture<>();
        if (disconnected) {
            if (requestsArrive) {
                worldTime.schedule(
                        50,
                        () -> service.append(stream, payload)
                                .toCompletableFuture()
                                .isDone());
            }
            schedule(TIMEOUT_MILLIS, () -> answer.complete(new AppendResult.Unknown("no answer")));
            return answer;
        }
        service.append(stream, payload)
                .whenComplete((result, _fault) -> schedule(
                        0, () -> answer.complete(disconnected ? new AppendResult.Unknown("no answer") : result)));
        return answer;
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        if (disconnected) {
            schedule(TIMEOUT_MILLIS, () -> answer.complete(new ReadResult.Unavailable("no answer")));
            return answer;
        }
        service.read(stream, fromOffset, maxRecords, waitMillis)
                .whenComplete((result, _fault) -> schedule(
                        0, () -> answer.complete(disconnected ? new ReadResult.Unavailable("no answer") : result)));
        return answer;
    }

    private void schedule(long delayMillis, Runnable task) {
        worldTime.schedule(delayMillis, () -> process.deliver(task));
    }
}
