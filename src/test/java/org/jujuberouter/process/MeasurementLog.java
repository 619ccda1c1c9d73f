package org.jujuberouter.process;

/** Prints the measurements of a run in the form that docs/failures.md quotes. */
final class MeasurementLog {
    private MeasurementLog() {}

    static void print(String format, Object... arguments) {
        System.out.println("measured: " + format.formatted(arguments));
    }
}
