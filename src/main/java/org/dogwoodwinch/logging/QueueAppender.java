package org.dogwoodwinch.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines on a thread of its own, from a bounded queue that drops what does not fit and says how much it dropped.
 *
 * <p>Failure: whoever reads the output stops reading. A thread that serves callers must not wait for it.
 *
 * <p>Load: a start on a small share of a processor. The library's own queue joins texts in a way that is linked at the
 * first use, as does its own initialisation, and a start waits for that.
 */
final class QueueAppender extends AppenderBase<ILoggingEvent> {

    private final BlockingQueue<byte[]> lines;
    private final Encoder<ILoggingEvent> encoder;
    private final OutputStream output;
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer = new Thread(this::write, "log-writer");

    /**
     * Creates an appender that is not started.
     *
     * @param encoder makes a line's bytes, on the thread that logs, not null
     * @param output where lines go, not null
     * @param mostLines the lines that may wait
     */
    QueueAppender(Encoder<ILoggingEvent> encoder, OutputStream output, int mostLines) {
        this.encoder = Objects.requireNonNull(encoder, "encoder");
        this.output = Objects.requireNonNull(output, "output");
        this.lines = new ArrayBlockingQueue<>(mostLines);
        writer.setDaemon(true);
    }

    @Override
    public void start() {
        super.start();
        writer.start();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (!lines.offer(encoder.encode(event))) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (true) {
                output.write(lines.take());
                long droppedLines = dropped.getAndSet(0);
                if (droppedLines > 0) {
                    output.write(LogEvent.of("log_lines_dropped")
                            .with("count", droppedLines)
                            .bytes());
                }
                if (lines.isEmpty()) {
                    output.flush();
                }
            }
        } catch (IOException e) {
            // Nobody can be told: the place for it is what failed. The queue fills, and lines are dropped.
            addError("the output cannot be written", e);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }
}
