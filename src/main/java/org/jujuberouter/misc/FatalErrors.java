package org.jujuberouter.misc;

import java.util.function.Consumer;

/**
 * Reports errors after which a process cannot be relied on: {@link OutOfMemoryError} and the other errors of the virtual
 * machine, and the end of an event loop.
 *
 * <p>A library that calls back into this program, such as Netty, catches every throwable and goes on. Each place to which
 * it then passes the throwable calls {@link #report}.
 */
public final class FatalErrors {
    /** Exceptions may refer to each other in a circle. */
    private static final int MAX_CAUSES = 16;

    private static volatile Consumer<Throwable> listener = e -> {};

    private FatalErrors() {}

    /** Sets what is called for each fatal error; it must not need memory before it has started to end the process. */
    public static void setListener(Consumer<Throwable> newListener) {
        listener = newListener;
    }

    /** Reports that the process cannot go on for the given reason, whatever its type. */
    public static void fail(Throwable reason) {
        listener.accept(reason);
    }

    /** Reports the throwable if it or one of its causes is fatal; does nothing for others and for null. */
    public static void report(Throwable thrown) {
        Throwable cause = thrown;
        for (int i = 0; cause != null && i < MAX_CAUSES; i++) {
            if (cause instanceof VirtualMachineError) {
                listener.accept(cause);
                return;
            }
            cause = cause.getCause();
        }
    }

    /** Runs an action and reports a fatal error before it is passed on. */
    public static void run(Runnable action) {
        try {
            action.run();
        } catch (VirtualMachineError e) {
            report(e);
            throw e;
        }
    }
}
