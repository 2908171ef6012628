package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** A stream that holds events of two versions is found from its id by the lines of its calls alone. */
class StreamLogsTest {

    private static final Logger REPORT_LOG = (Logger) LoggerFactory.getLogger(LoggingReport.class);

    private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
    private final Level levelBefore = REPORT_LOG.getLevel();
    private final RelayFixture relay = new RelayFixture().withRoutes();

    @BeforeEach
    void startAppender() {
        appender.start();
        REPORT_LOG.addAppender(appender);
        REPORT_LOG.setLevel(Level.INFO);
        withVersion("t0", "v1");
    }

    @AfterEach
    void detachAppender() {
        REPORT_LOG.detachAppender(appender);
        REPORT_LOG.setLevel(levelBefore);
    }

    private void withVersion(String id, String version) {
        relay.withTarget(new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0, 0, version));
    }

    private RelayFixture.FakeTargetConnection begin(String id) {
        relay.connectCaller().send(RelayFixture.getRequest("/resume/a", id));
        return respond(id, "1");
    }

    private RelayFixture.FakeTargetConnection takeUp(String id, String lastEventId, String firstEventId) {
        relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/resume/a", id, "Resumes: a1\r\nLast-Event-Id: " + lastEventId + "\r\n", "x"));
        return respond(id, firstEventId);
    }

    private RelayFixture.FakeTargetConnection respond(String id, String eventId) {
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond(RelayFixture.streamResponseHead(id) + RelayFixture.chunk("id: " + eventId + "\ndata: x\n\n"));
        return target;
    }

    private List<String> linesOf(String event) {
        return appender.list.stream()
                .map(ILoggingEvent::getFormattedMessage)
                .filter(line -> line.startsWith("event=" + event + " "))
                .toList();
    }

    private static void assertHolds(String line, String... fields) {
        for (String field : fields) {
            assertTrue((line + " ").contains(" " + field + " "), field + " is not in " + line);
        }
    }

    /** Failure: no line tells which target of which version began a stream, or went on with it. */
    @Test
    void targetAndVersionOfEachFirstEventAreInTheLog() {
        begin("a1").reset();
        takeUp("b1", "1", "2");

        List<String> lines = linesOf("stream_first_event");
        assertEquals(2, lines.size());
        assertHolds(lines.get(0), "request=a1", "service=desk", "target=t0", "resumes=\"\"", "version=\"\"");
        assertHolds(lines.get(0), "targetVersion=v1", "lastEventId=\"\"", "firstEventId=1", "configVersion=1");
        assertHolds(lines.get(1), "request=b1", "service=desk", "target=t0", "resumes=a1", "version=v1");
        assertHolds(lines.get(1), "targetVersion=v1", "lastEventId=1", "firstEventId=2", "configVersion=1");
    }

    /** Failure: a configuration moves a route between two calls of a stream, and no line tells which one each call had. */
    @Test
    void configurationOfEachTakeUpIsInTheLog() {
        begin("a1").reset();
        relay.withRoutes();
        takeUp("b1", "1", "2");
        relay.streamOriginsDelegate = unknown();
        takeUp("b2", "2", "3");

        assertHolds(linesOf("stream_taken_up").get(0), "request=b1", "lastEventId=1", "configVersion=2");
        assertHolds(linesOf("stream_not_taken_up").get(0), "request=b2", "lastEventId=2", "configVersion=2");
    }

    /** Failure: a run within one response is seen by its send only, so that a joined response shows one version. */
    @Test
    void eachRunWithinOneResponseHasItsLine() {
        withVersion("t1", "v1");
        begin("a1").reset();
        respond("a1", "2").respond(RelayFixture.chunk("id: 3\ndata: x\n\n"));

        List<String> lines = linesOf("stream_first_event");
        assertEquals(2, lines.size());
        assertHolds(lines.get(1), "request=a1", "version=v1", "targetVersion=v1", "lastEventId=1", "firstEventId=2");
    }

    /** Failure: a take-up that brings nothing leaves the same lines as one that goes on. */
    @Test
    void takeUpThatBringsNoEventHasItsLine() {
        begin("a1").reset();
        relay.connectCaller()
                .send(RelayFixture.postRequest("/resume/a", "b1", "Resumes: a1\r\nLast-Event-Id: 1\r\n", "x"))
                .disconnect();

        List<String> lines = linesOf("stream_take_up_without_event");
        assertEquals(1, lines.size());
        assertHolds(lines.get(0), "request=b1", "resumes=a1", "version=v1", "lastEventId=1", "configVersion=1");
        assertEquals(1, linesOf("stream_first_event").size());
    }

    /** Failure: the id that a target gives to an event, which may be long, fills the log. */
    @Test
    void longIdsOfEventsAreCut() {
        relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        respond("a1", "i".repeat(10_000));

        assertTrue(linesOf("stream_first_event").get(0).endsWith(" configVersion=1"));
        assertTrue(linesOf("stream_first_event").get(0).length() < 1_000);
    }

    private static StreamOrigins unknown() {
        return new StreamOrigins() {
            @Override
            public void recordBegin(StreamId _stream, String _softwareVersion, OptionalLong _callerMillis) {}

            @Override
            public void find(StreamTakeUp _takeUp, Consumer<StreamOrigin> onFound) {
                onFound.accept(new StreamOrigin.Unknown("no_record"));
            }
        };
    }
}
