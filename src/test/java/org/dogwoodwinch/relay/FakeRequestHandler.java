package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.CallerLimits;

/** Handles requests as a test sets it, without targets. */
final class FakeRequestHandler implements RequestHandler {

    static final int MAX_BODY_MEMORY_BYTES = 20_000;

    /** Handles one request. */
    interface Behaviour {
        ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone);
    }

    final BodyMemory bodyMemory = new BodyMemory(MAX_BODY_MEMORY_BYTES);
    final List<UnansweredRequest> unanswered = new ArrayList<>();
    volatile boolean draining;
    volatile Behaviour behaviour = (_call, caller, onDone) -> answer(200, caller, onDone);

    /** Answers a request at once. */
    static ActiveCall answer(int status, CallerResponse caller, Runnable onDone) {
        caller.sendResponse(status, new DefaultHttpHeaders(), Bytes.ofUtf8("answer"));
        onDone.run();
        return ActiveCall.NONE;
    }

    @Override
    public CallerLimits limits() {
        return RelayFixture.CALLER_LIMITS;
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public BodyMemory bodyMemory() {
        return bodyMemory;
    }

    @Override
    public ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone) {
        return behaviour.handle(call, caller, onDone);
    }

    @Override
    public void recordRefusal(int _status, String _reason) {}

    @Override
    public void recordUnanswered(UnansweredRequest ended) {
        unanswered.add(ended);
    }
}
