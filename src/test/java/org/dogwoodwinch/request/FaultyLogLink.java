package org.dogwoodwinch.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.VirtualTimeSource;

/** The connection of one instance to the log, which can be interrupted or lose replies after an append took effect. */
final class FaultyLogLink implements LogService {

    private static final long TIMEOUT_MILLIS = 300;

    private final VirtualTimeSource virtualTime;
    private final ProcessClock process;
    private final LogService service;
    private boolean disconnected;
    private boolean requestsArrive;

    FaultyLogLink(VirtualTimeSource virtualTime, ProcessClock process, LogService service) {
        this.virtualTime = virtualTime;
        this.process = process;
        this.service = service;
    }

    /** Disconnects the link; if {@code stillArrives} is set, appends reach the log and only their replies are lost. */
    void setDisconnected(boolean enabled, boolean stillArrives) {
        disconnected = enabled;
        requestsArrive = stillArrives;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        CompletableFuture<AppendResult> answer = new CompletableFuture<>();
        if (disconnected) {
            if (requestsArrive) {
                virtualTime.schedule(
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
        virtualTime.schedule(delayMillis, () -> process.deliver(task));
    }
}
