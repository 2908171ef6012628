package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.platform.PlatformHeaders;
import org.dogwoodwinch.relay.UnansweredRequest.Cause;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class UnansweredRequestsTest {

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final ForwardingMetrics metrics = new ForwardingMetrics(new PrometheusRegistry());
    private final UnansweredRequests requests =
            new UnansweredRequests(metrics.requestEnds(), new PlatformHeaders(), time);
    private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
    private Level levelBefore;

    private static Logger ownLines() {
        return (Logger) LoggerFactory.getLogger("org.dogwoodwinch.relay.UnansweredRequests");
    }

    @BeforeEach
    void attach() {
        levelBefore = ownLines().getLevel();
        ownLines().setLevel(Level.INFO);
        lines.start();
        ownLines().addAppender(lines);
    }

    @AfterEach
    void detach() {
        ownLines().detachAppender(lines);
        ownLines().setLevel(levelBefore);
    }

    private void end(Cause cause) {
        IncomingCall call = new IncomingCall(
                HttpMethod.GET, "/once/a", new DefaultHttpHeaders().set("Request-Id", "a1"), Bytes.EMPTY, false, 0);
        requests.record(new UnansweredRequest(call, cause, true));
    }

    private List<String> messages() {
        return lines.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Test
    void lineNamesRequestCauseAndAge() {
        time.advanceMillis(70);

        end(Cause.STOP);

        assertEquals(
                List.of("event=request_ended_without_answer request=a1 cause=stop passedOn=true ageMillis=70"
                        + " unlogged=0"),
                messages());
    }

    @Test
    void linesAreBoundedAndTheOthersCounted() {
        for (int i = 0; i < 500; i++) {
            end(Cause.ABORTED_AFTER_BEGIN);
        }
        assertEquals(20, messages().size());
        time.advanceMillis(1_000);

        end(Cause.OWN_ERROR);

        assertTrue(messages().get(20).endsWith("unlogged=480"), messages().get(20));
        assertTrue(metrics.text()
                .contains("dogwoodwinch_closed_without_answer_total{cause=\"aborted_after_begin\"} 500.0"));
        assertTrue(metrics.text().contains("dogwoodwinch_closed_without_answer_total{cause=\"own_error\"} 1.0"));
    }

    @Test
    void callerThatLeavesIsOnlyCounted() {
        end(Cause.CALLER);

        assertEquals(List.of(), messages());
        assertTrue(metrics.text().contains("dogwoodwinch_closed_without_answer_total{cause=\"caller\"} 1.0"));
        assertTrue(metrics.text().contains("dogwoodwinch_closed_without_answer_total{cause=\"stop\"} 0.0"));
    }
}
