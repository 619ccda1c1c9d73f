package org.jujuberouter.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jujuberouter.misc.FatalErrors;

/**
 * Ends the process after a failure from which it cannot recover, so that the platform starts it again.
 *
 * <p>All that is needed to end the process is created in advance, because memory may be used up by then. The process is
 * halted without the shutdown hooks: a graceful stop needs the event loop, and would wait for it in vain.
 */
final class FatalExit {
    /** Differs from the codes of the JVM (1, 3 and 134) and of settings that cannot be read. */
    static final int EXIT_CODE = 70;

    /** Time to log the reason; the process exits within a second of the failure even if the log is blocked. */
    private static final long LOG_TIMEOUT_MS = 500;

    private static final System.Logger LOG = System.getLogger(FatalExit.class.getName());

    /** A strong reference: the log manager holds loggers weakly, and a collected logger loses its handler. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private static final byte[] NOTICE =
            "the heap or the event loop is lost; the process exits\n".getBytes(StandardCharsets.US_ASCII);

    private final CountDownLatch failed = new CountDownLatch(1);
    private final OutputStream err = new FileOutputStream(FileDescriptor.err);
    private final Handler log;
    private volatile Throwable reason;

    private FatalExit(Handler log) {
        this.log = log;
    }

    /** Watches for fatal errors of all threads; the given log is closed before the process ends. */
    static FatalExit install(Handler log) {
        FatalExit exit = new FatalExit(log);
        FatalErrors.setListener(exit::fail);
        Thread.UncaughtExceptionHandler reporting = (thread, thrown) -> {
            FatalErrors.report(thrown);
            LOG.log(System.Logger.Level.ERROR, "[fault] uncaught in thread " + thread.getName(), thrown);
        };
        Thread.setDefaultUncaughtExceptionHandler(reporting);
        reportErrorsLoggedByNetty();
        Thread.ofPlatform().daemon().name("fatal-exit").start(exit::haltAfterFailure);
        return exit;
    }

    /** Reports the fatal errors that tasks and listeners throw, which Netty catches and logs as warnings. */
    static void reportErrorsLoggedByNetty() {
        NETTY_LOGGER.setLevel(Level.WARNING);
        NETTY_LOGGER.addHandler(new ReportingHandler());
    }

    /** Ends the process because of the reason; further reasons are ignored. Needs no memory. */
    void fail(Throwable thrown) {
        if (reason == null) {
            reason = thrown;
        }
        failed.countDown();
    }

    /** Waits for a failure, logs it and ends the process. */
    void logAndHaltOnFailure() throws InterruptedException {
        failed.await();
        try {
            err.write(NOTICE);
            LOG.log(
                    System.Logger.Level.ERROR,
                    "[fault] the process cannot go on",
                    Map.entry("reason", String.valueOf(reason)),
                    Map.entry("exit_code", EXIT_CODE));
            log.close();
        } catch (IOException | RuntimeException | VirtualMachineError e) {
            // The process ends in any case; there is no other place to report that the reason cannot be logged.
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        Runtime.getRuntime().halt(EXIT_CODE);
    }

    private void haltAfterFailure() {
        try {
            failed.await();
            Thread.sleep(LOG_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        Runtime.getRuntime().halt(EXIT_CODE);
    }

    private static final class ReportingHandler extends Handler {
        @Override
        public void publish(LogRecord logRecord) {
            FatalErrors.report(logRecord.getThrown());
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }
}
