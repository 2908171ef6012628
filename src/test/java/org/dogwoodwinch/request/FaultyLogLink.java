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

    private final VirtualTimeSource world;
    private final ProcessClock process;
    private final LogService service;
    private boolean cut;
    private boolean oneWay;

    FaultyLogLink(VirtualTimeSource world, ProcessClock process, LogService service) {
        this.world = world;
        this.process = process;
        this.service = service;
    }

    /** Cuts the link; one way only, what is sent still arrives and its answer is lost. */
    void setCut(boolean wanted, boolean wantedOneWay) {
        cut = wanted;
        oneWay = wantedOneWay;
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        CompletableFuture<AppendResult> answer = new CompletableFuture<>();
        if (cut) {
            if (oneWay) {
                world.schedule(
                        50,
                        () -> service.append(stream, payload)
                                .toCompletableFuture()
                                .isDone());
            }
            later(TIMEOUT_MILLIS, () -> answer.complete(new AppendResult.Unknown("no answer")));
            return answer;
        }
        service.append(stream, payload)
                .whenComplete((result, _fault) ->
                        later(0, () -> answer.complete(cut ? new AppendResult.Unknown("no answer") : result)));
        return answer;
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        if (cut) {
            later(TIMEOUT_MILLIS, () -> answer.complete(new ReadResult.Unavailable("no answer")));
            return answer;
        }
        service.read(stream, fromOffset, maxRecords, waitMillis)
                .whenComplete((result, _fault) ->
                        later(0, () -> answer.complete(cut ? new ReadResult.Unavailable("no answer") : result)));
        return answer;
    }

    private void later(long delayMillis, Runnable task) {
        world.schedule(delayMillis, () -> process.deliver(task));
    }
}
