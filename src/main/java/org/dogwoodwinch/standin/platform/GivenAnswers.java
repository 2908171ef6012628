package org.dogwoodwinch.standin.platform;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The answers of a stand-in target by request id. May be read on any thread. */
final class GivenAnswers {

    private final Map<String, Queue<AnswerRecorder>> recordersByRequest = new ConcurrentHashMap<>();

    /**
     * Returns an answer that is recorded while it is written.
     *
     * @param requestId the id of the request, not null
     * @param answer writes the answer, not null
     * @return the answer to write to
     */
    StandInAnswer record(String requestId, StandInAnswer answer) {
        return new RecordedAnswer(answer, () -> {
            AnswerRecorder recorder = new AnswerRecorder();
            recordersByRequest
                    .computeIfAbsent(requestId, _id -> new ConcurrentLinkedQueue<>())
                    .add(recorder);
            return recorder;
        });
    }

    /**
     * Returns the answers to a request.
     *
     * @param requestId the id of the request, not null
     * @return the answers in the order in which they began; empty if there are none
     */
    List<GivenAnswer> answersTo(String requestId) {
        Queue<AnswerRecorder> recorders = recordersByRequest.get(requestId);
        return recorders == null
                ? List.of()
                : recorders.stream().map(AnswerRecorder::given).toList();
    }
}
