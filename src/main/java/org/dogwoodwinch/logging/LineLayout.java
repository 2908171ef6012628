package org.dogwoodwinch.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.LayoutBase;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Writes one line an event: {@code time=... level=... logger=...} and the message. The time is UTC with milliseconds; an
 * exception follows in lines of its own.
 */
public final class LineLayout extends LayoutBase<ILoggingEvent> {

    private static final int LINE_CHARACTERS = 256;
    private static final int MILLIS_PER_SECOND = 1_000;

    @Override
    public String doLayout(ILoggingEvent event) {
        StringBuilder line = new StringBuilder(LINE_CHARACTERS).append("time=");
        appendTime(line, event.getTimeStamp());
        line.append(" level=").append(event.getLevel()).append(" logger=");
        String logger = event.getLoggerName();
        line.append(logger, logger.lastIndexOf('.') + 1, logger.length());
        line.append(' ').append(event.getFormattedMessage()).append('\n');
        if (event.getThrowableProxy() != null) {
            line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return line.toString();
    }

    /** By hand: the formatters of the library load the tables of all calendars first. */
    private static void appendTime(StringBuilder line, long epochMillis) {
        long second = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        LocalDateTime time = LocalDateTime.ofEpochSecond(second, 0, ZoneOffset.UTC);
        append(line, time.getYear(), 4, '-');
        append(line, time.getMonthValue(), 2, '-');
        append(line, time.getDayOfMonth(), 2, 'T');
        append(line, time.getHour(), 2, ':');
        append(line, time.getMinute(), 2, ':');
        append(line, time.getSecond(), 2, '.');
        append(line, Math.floorMod(epochMillis, MILLIS_PER_SECOND), 3, 'Z');
    }

    private static void append(StringBuilder line, int number, int digits, char end) {
        String text = Integer.toString(number);
        for (int i = text.length(); i < digits; i++) {
            line.append('0');
        }
        line.append(text).append(end);
    }
}
