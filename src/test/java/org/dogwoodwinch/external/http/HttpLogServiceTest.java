package org.dogwoodwinch.external.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.HttpClients;
import org.dogwoodwinch.time.SystemTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The three adapters of the platform against their stand-ins over HTTP. */
class HttpLogServiceTest {

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final HttpClients clients = new HttpClients(group, 2_000);
    private final HttpCaller caller = clients.pooledCaller(1 << 20);
    private final StandInFleet fleet;
    private final HttpLogService log;

    HttpLogServiceTest() throws IOException {
        fleet = new StandInFleet(group, new SystemTimeSource(timers), 0, StandInEngineObserver.NONE);
        log = new HttpLogService(caller, fleet.addresses().logUrl());
    }

    @AfterEach
    void stop() {
        clients.close();
        fleet.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        timers.shutdownNow();
    }

    @Test
    void whatIsAppendedIsReadBackInOrder() {
        assertEquals(new AppendResult.Appended(0), get(log.append("s", "{\"a\":\"\u00e9\"}")));
        assertEquals(new AppendResult.Appended(1), get(log.append("s", "{}")));
        assertEquals(
                new ReadResult.Records(List.of(new LogRecord(0, "{\"a\":\"\u00e9\"}"), new LogRecord(1, "{}")), 0, 2),
                get(log.read("s", 0, 10, 0)));
        assertEquals(new ReadResult.Records(List.of(), 0, 0), get(log.read("other", 0, 10, 20)));
    }

    /**
     * The log takes a record and its answer is lost. The append is unknown, not refused: only reading the stream tells,
     * and the record is there.
     */
    @Test
    void aLostAnswerIsUnknownAndTheRecordIsThere() {
        fleet.log().loseAnswers(1);
        assertInstanceOf(AppendResult.Unknown.class, get(log.append("s", "{}")));
        ReadResult read = get(log.read("s", 0, 10, 0));
        assertEquals(1, ((ReadResult.Records) read).records().size());
    }

    @Test
    void anOutageIsToldAsWhatItIs() {
        fleet.log().setMode(MemoryLog.Mode.REFUSING);
        assertInstanceOf(AppendResult.Refused.class, get(log.append("s", "{}")));
        assertInstanceOf(ReadResult.Unavailable.class, get(log.read("s", 0, 10, 0)));
        fleet.log().setMode(MemoryLog.Mode.SILENT);
        assertInstanceOf(AppendResult.Unknown.class, get(log.append("s", "{}")));
    }

    /** The log service is gone altogether: nothing was sent, which is a refusal, and reads are unavailable. */
    @Test
    void aConnectionThatIsRefusedAppendedNothing() {
        fleet.close();
        assertInstanceOf(AppendResult.Refused.class, get(log.append("s", "{}")));
        assertInstanceOf(ReadResult.Unavailable.class, get(log.read("s", 0, 10, 0)));
    }

    @Test
    void theListAndTheStoreAnswer() {
        ListedInstance line =
                new ListedInstance("e-1", ListedInstance.Kind.ENGINE, "127.0.0.1", 9, 0, "kakkanad", true, "booking");
        fleet.instanceList().put(line);
        HttpInstanceList list = new HttpInstanceList(caller, fleet.addresses().instanceListUrl());
        assertEquals(List.of(line), get(list.read()).orElseThrow());
        HttpWeightStore store = new HttpWeightStore(caller, fleet.addresses().weightStoreUrl());
        assertEquals(6, get(store.allowedLoadsPerMinute()));
        fleet.close();
        assertEquals(0, get(store.allowedLoadsPerMinute()));
        assertEquals(Optional.empty(), get(list.read()));
    }

    private static <T> T get(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
