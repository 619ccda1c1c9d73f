package org.jujuberouter.entry;

/** A pending timer that closes the caller's connection after the deadline; closing the guard cancels it. */
@FunctionalInterface
interface DeadlineGuard extends AutoCloseable {
    @Override
    void close();
}
