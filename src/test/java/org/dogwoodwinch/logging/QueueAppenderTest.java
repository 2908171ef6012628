package org.dogwoodwinch.logging;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.encoder.EncoderBase;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Scanner;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class QueueAppenderTest {

    private static final Logger log = new LoggerContext().getLogger("x");

    private static LoggingEvent event(String message) {
        return new LoggingEvent("x", log, Level.INFO, message, null, null);
    }

    /**
     * Whoever reads the output has stopped reading. The thread that logs goes on, what does not fit is dropped, and when
     * the reader goes on it learns how much it missed.
     */
    @Test
    void aReaderThatStopsHoldsNobodyUpAndIsToldWhatItMissed() throws Exception {
        CountDownLatch readerGoesOn = new CountDownLatch(1);
        PipedInputStream read = new PipedInputStream(65_536);
        OutputStream written = new PipedOutputStream(read) {
            @Override
            public void write(byte[] bytes) throws java.io.IOException {
                try {
                    readerGoesOn.await();
                } catch (InterruptedException e) {
                    throw new java.io.IOException(e);
                }
                super.write(bytes);
            }
        };
        QueueAppender appender = new QueueAppender(new Lines(), written, 4);
        appender.start();
        for (int i = 0; i < 100; i++) {
            appender.doAppend(event("line" + i));
        }
        readerGoesOn.countDown();
        Scanner lines = new Scanner(read, StandardCharsets.UTF_8);
        boolean told = false;
        while (!told) {
            told = lines.nextLine().startsWith("event=log_lines_dropped count=9");
        }
        assertTrue(told);
        appender.stop();
    }

    private static final class Lines extends EncoderBase<ILoggingEvent> {
        @Override
        public byte[] headerBytes() {
            return new byte[0];
        }

        @Override
        public byte[] encode(ILoggingEvent event) {
            return (event.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] footerBytes() {
            return new byte[0];
        }
    }
}
