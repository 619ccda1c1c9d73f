package org.jujuberouter.entry;

/** Something that ends with a block and cannot fail. */
@FunctionalInterface
interface AutoCloseableGuard extends AutoCloseable {
    @Override
    void close();
}
