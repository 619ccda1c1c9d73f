package org.jujuberouter.process;

/** Prints the figures of a run, which docs/failures.md quotes. */
final class Measured {
    private Measured() {}

    static void print(String format, Object... facts) {
        System.out.println("measured: " + format.formatted(facts));
    }
}
