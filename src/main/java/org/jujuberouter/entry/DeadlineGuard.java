package org.jujuberouter.entry;

/** Closes a caller's connection after the deadline unless it is closed before. */
@FunctionalInterface
interface DeadlineGuard extends AutoCloseable {
    @Override
    void close();
}
