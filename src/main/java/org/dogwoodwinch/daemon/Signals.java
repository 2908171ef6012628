package org.dogwoodwinch.daemon;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Objects;

/**
 * Signals of this process.
 *
 * <p>The Java platform has no other interface to them than {@code sun.misc.Signal} of module {@code jdk.unsupported}. It
 * is reached by reflection, since javac warns of every other use and warnings are errors here.
 */
final class Signals {

    private Signals() {}

    /**
     * Runs a reaction at each arrival of a signal.
     *
     * @param name the signal's name without its prefix, as TERM, not null
     * @param action runs on a thread of the virtual machine, not null
     * @throws IllegalStateException if this virtual machine hands out no signals
     */
    // The proxy's type is only known at run time for the reason above, and no native image is built.
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
            throw new IllegalStateException("this virtual machine hands out no signals", e);
        }
    }

    private static Object runAction(Method method, Runnable action) {
        if (method.getName().equals("handle")) {
            action.run();
        }
        return null;
    }
}
