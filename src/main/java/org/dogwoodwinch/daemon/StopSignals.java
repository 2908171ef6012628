package org.dogwoodwinch.daemon;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Turns SIGTERM and SIGINT into a graceful stop, and a second one into an end at once.
 *
 * <p>A shutdown hook would not do: while hooks run, the virtual machine ignores further signals, so that an operator who
 * gives up on a drain could only kill the process and would get no exit code to tell the two apart.
 */
final class StopSignals {

    private static final Logger log = LoggerFactory.getLogger(StopSignals.class);
    private static final String[] NAMES = {"TERM", "INT"};

    private final AtomicInteger count = new AtomicInteger();
    private final Runnable onFirst;
    private final Runnable onSecond;

    /**
     * Creates the pair of reactions.
     *
     * @param onFirst starts the graceful stop and returns, not null
     * @param onSecond ends the process, not null
     */
    StopSignals(Runnable onFirst, Runnable onSecond) {
        this.onFirst = Objects.requireNonNull(onFirst, "onFirst");
        this.onSecond = Objects.requireNonNull(onSecond, "onSecond");
    }

    /**
     * Takes the signals of this process over.
     *
     * <p>The Java platform has no other interface to signals than {@code sun.misc.Signal} of module {@code
     * jdk.unsupported}. It is reached by reflection, since javac warns of every other use and warnings are errors here.
     *
     * @throws IllegalStateException if this virtual machine has no such interface
     */
    // The proxy's type is only known at run time for the reason above, and no native image is built.
    @SuppressWarnings("ProxyNonConstantType")
    void install() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Method handle = signal.getMethod("handle", signal, handler);
            Object reaction =
                    Proxy.newProxyInstance(StopSignals.class.getClassLoader(), new Class<?>[] {handler}, this::invoked);
            for (String name : NAMES) {
                handle.invoke(null, signal.getConstructor(String.class).newInstance(name), reaction);
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this virtual machine hands out no signals", e);
        }
    }

    /**
     * Reacts to a signal.
     *
     * @param name the signal's name, not null
     */
    void received(String name) {
        int number = count.incrementAndGet();
        LogEvent.of("signal").with("name", name).with("number", number).info(log);
        if (number == 1) {
            onFirst.run();
        } else {
            onSecond.run();
        }
    }

    private Object invoked(Object _proxy, Method method, Object[] arguments) {
        if (method.getName().equals("handle")) {
            received(String.valueOf(arguments[0]));
        }
        return null;
    }
}
