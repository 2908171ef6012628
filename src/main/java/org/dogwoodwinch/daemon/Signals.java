package org.dogwoodwinch.daemon;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Objects;

/**
 * Installs handlers for signals sent to this process.
 *
 * <p>The only interface of the Java platform to signals is {@code sun.misc.Signal} of module {@code jdk.unsupported}.
 * It is called by reflection, because javac warns about every direct use and the build treats warnings as errors.
 */
final class Signals {

    private Signals() {}

    /**
     * Sets the action that runs each time a signal is received.
     *
     * @param name the signal's name without the prefix {@code SIG}, such as {@code TERM}, not null
     * @param action the action, which runs on a thread of the virtual machine, not null
     * @throws IllegalStateException if this virtual machine does not support signal handlers
     */
    // The proxy's interface is only known at run time because it is loaded by reflection. The warning concerns native
    // images, which this project does not build.
    @SuppressWarnings("ProxyNonConstantType")
    static void setHandler(String name, Runnable action) {
        Objects.requireNonNull(action, "action");
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Method handleMethod = signal.getMethod("handle", signal, handler);
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (_proxy, method, _arguments) -> runAction(method, action));
            handleMethod.invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this virtual machine does not support sun.misc.Signal", e);
        }
    }

    private static Object runAction(Method method, Runnable action) {
        if (method.getName().equals("handle")) {
            action.run();
        }
        return null;
    }
}
