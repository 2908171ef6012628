package org.dogwoodwinch.faultrun;

import org.dogwoodwinch.history.RequestEvent;
import org.dogwoodwinch.request.AnswerSink;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/** One call of one caller: records how it ended. */
final class VirtualCall implements AnswerSink {

    private final VirtualRun run;
    private final VirtualInstance instance;
    private final String id;
    private final StringBuilder text = new StringBuilder();

    VirtualCall(VirtualRun run, VirtualInstance instance, String id) {
        this.run = run;
        this.instance = instance;
        this.id = id;
    }

    String id() {
        return id;
    }

    void lose() {
        run.history.record(new RequestEvent.Lost(run.time.wallMillis(), id, true, "the instance was killed"));
    }

    @Override
    public void onChunk(AnswerChunk chunk) {
        text.append(chunk.text());
    }

    @Override
    public void onComplete(TokenUsage _usage, String _finishReason) {
        end(new RequestEvent.Answered(run.time.wallMillis(), id, text.toString()));
    }

    @Override
    public void onServiceAnswer(ServiceAnswer answer) {
        end(new RequestEvent.Answered(run.time.wallMillis(), id, answer.toString()));
    }

    @Override
    public void onRefused(Refusal refusal) {
        end(new RequestEvent.Refused(run.time.wallMillis(), id, refusal.reason(), refusal.runState()));
    }

    private void end(RequestEvent event) {
        if (instance.isAlive()) {
            instance.openCalls.remove(id);
            run.history.record(event);
        }
    }
}
