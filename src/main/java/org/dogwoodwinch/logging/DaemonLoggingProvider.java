package org.dogwoodwinch.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Sets up a daemon's logs at once, where the system property {@code slf4j.provider} names this class.
 *
 * <p>Load: a start on a small share of a processor. The library's own provider looks for files, services and versions
 * first.
 */
public final class DaemonLoggingProvider implements SLF4JServiceProvider {

    private static final String API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter values = new LogbackMDCAdapter();

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return values;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }

    @Override
    public void initialize() {
        context.setName("daemon");
        context.setMDCAdapter(values);
        DaemonLogging.setUp(context);
        context.start();
    }
}
