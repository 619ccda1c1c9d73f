package org.jujuberouter.cli;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Handles SIGHUP, which by default terminates a Java process.
 *
 * <p>The JDK has no supported API for signals. {@code sun.misc.Signal} of the module jdk.unsupported is called by
 * reflection, because the compiler warns about direct uses.
 */
final class SighupHandler {
    private static final System.Logger LOG = System.getLogger(SighupHandler.class.getName());

    private static final AtomicReference<Runnable> ACTION = new AtomicReference<>(() -> {});

    private static volatile boolean ignored;

    private SighupHandler() {}

    /**
     * Returns whether this process was started with the signal ignored, as by nohup. The JVM then does not let a handler
     * replace that, and no action is run.
     */
    static boolean isIgnored() {
        return ignored;
    }

    /** Sets the action to run, on a JDK thread, for each signal received from now on. */
    static void setAction(Runnable action) {
        ACTION.set(action);
    }

    /**
     * Installs the handler, so that the signal no longer terminates the process. Signals are ignored until an action is
     * set.
     *
     * <p>Must be called first at startup, since the settings may change at any time. A change announced by a signal
     * during startup is read by the startup itself.
     */
    static void catchSignal() {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            ACTION.get().run();
                        }
                        return null;
                    });
            Object previous = signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), proxy);
            ignored = previous == handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            LOG.log(System.Logger.Level.WARNING, "[state] cannot catch SIGHUP, which will terminate this process", e);
        }
    }
}
