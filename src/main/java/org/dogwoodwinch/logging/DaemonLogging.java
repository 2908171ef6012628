package org.dogwoodwinch.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Sets up a daemon's logs: standard output, through a bounded queue that drops lines rather than waits for a reader. In
 * force where the system property {@code dogwoodwinch.logging} is {@code daemon}; elsewhere logback looks for its files.
 *
 * <p>In code and not in a file, since reading the file took a quarter of the processor time of a start.
 */
public final class DaemonLogging extends ContextAwareBase implements Configurator {

    /** The system property that puts this in force. */
    public static final String PROPERTY = "dogwoodwinch.logging";

    private static final String DAEMON = "daemon";
    private static final String LEVEL_VARIABLE = "DOGWOODWINCH_LOG_LEVEL";

    /** Lines that may wait for a reader, of some 200 bytes each: what a busy second writes, in under a megabyte. */
    private static final int QUEUE_LINES = 2_048;

    private static final List<String> QUIET = List.of("io.netty", "org.asynchttpclient");

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!DAEMON.equals(System.getProperty(PROPERTY))) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        setUp(context);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Sets up a context, whichever way it came to be. */
    static void setUp(LoggerContext context) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(
                Level.toLevel(Optional.ofNullable(System.getenv(LEVEL_VARIABLE)).orElse(""), Level.INFO));
        root.addAppender(queue(context));
        QUIET.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
    }

    private static QueueAppender queue(LoggerContext context) {
        LineLayout layout = new LineLayout();
        layout.setContext(context);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setCharset(StandardCharsets.UTF_8);
        encoder.setLayout(layout);
        encoder.start();
        QueueAppender queue = new QueueAppender(encoder, System.out, QUEUE_LINES);
        queue.setContext(context);
        queue.setName("QUEUE");
        queue.start();
        return queue;
    }
}
