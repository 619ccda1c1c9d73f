package org.jujuberouter.capacity;

import java.io.PrintWriter;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Prints the samples and how their figures grow with instances and endpoints. */
public final class CapacityReport {
    private static final int HEARTBEAT_PEERS = 16;

    private final PrintWriter out;
    private final List<CapacitySample> samples;

    private CapacityReport(PrintWriter out, List<CapacitySample> samples) {
        this.out = out;
        this.samples = samples;
    }

    /** Returns a report of the samples. */
    public static CapacityReport of(PrintWriter out, List<CapacitySample> samples) {
        return new CapacityReport(out, samples);
    }

    /** Prints the heading of the rows. */
    public static void printHeading(PrintWriter out) {
        out.println("per instance and second, but for n, e, owned, heap and the store, which are totals of the site;");
        out.printf(
                "%4s %4s %5s %8s %9s %7s %8s %9s %9s %7s %7s %7s%n",
                "n",
                "e",
                "owned",
                "frames",
                "bytes",
                "core %",
                "MB/inst",
                "list B/s",
                "engineB/s",
                "reads/s",
                "write/s",
                "watches");
    }

    /** Prints one row. */
    public static void printRow(PrintWriter out, CapacitySample s) {
        out.printf(
                "%4d %4d %5d %8.1f %9.0f %7.2f %8.1f %9.0f %9.0f %7.2f %7.2f %7d%n",
                s.instances(),
                s.endpoints(),
                s.owned(),
                s.framesPerSecond(),
                s.bytesPerSecond(),
                s.corePercent(),
                s.heapMegabytes(),
                s.listBytesPerSecond(),
                s.engineBytesPerSecond(),
                s.storeReads() / s.seconds(),
                s.storeWrites() / s.seconds(),
                s.waitingWatches());
        s.used()
                .forEach((name, c) -> out.printf(
                        "          %-14s %8.2f frames/s %9.1f bytes/s%n",
                        name, c.framesOut() / s.seconds() / s.instances(), c.bytesOut() / s.seconds() / s.instances()));
        out.flush();
    }

    /** Prints the fits; p is the number of heartbeat peers. */
    public void printFits() {
        out.println("fitted by least squares; p = min(n - 1, 16)");
        fit("frames/s", "1, n-1", s -> new double[] {1, s.instances() - 1}, CapacitySample::framesPerSecond);
        fit(
                "bytes/s",
                "1, n-1, p, p e/n",
                s -> new double[] {1, s.instances() - 1, peers(s), peers(s) * perInstance(s)},
                CapacitySample::bytesPerSecond);
        fit(
                "core %",
                "1, n-1, e, e/n, p e/n",
                s -> new double[] {1, s.instances() - 1, s.endpoints(), perInstance(s), peers(s) * perInstance(s)},
                CapacitySample::corePercent);
        fit(
                "heap MB an instance",
                "1, 1/n, n-1, e",
                s -> new double[] {1, 1.0 / s.instances(), s.instances() - 1, s.endpoints()},
                CapacitySample::heapMegabytes);
        fit(
                "list bytes/s",
                "n, e",
                s -> new double[] {s.instances(), s.endpoints()},
                CapacitySample::listBytesPerSecond);
        fit("engine bytes/s", "e/n", s -> new double[] {perInstance(s)}, CapacitySample::engineBytesPerSecond);
        fit("store reads/s", "n", s -> new double[] {s.instances()}, s -> s.storeReads() / s.seconds());
        fit("store writes/s", "n", s -> new double[] {s.instances()}, s -> s.storeWrites() / s.seconds());
        out.flush();
    }

    private static double peers(CapacitySample s) {
        return Math.min(s.instances() - 1, HEARTBEAT_PEERS);
    }

    private static double perInstance(CapacitySample s) {
        return (double) s.endpoints() / s.instances();
    }

    private void fit(
            String name, String terms, Function<CapacitySample, double[]> row, ToDoubleFunction<CapacitySample> value) {
        List<double[]> rows = samples.stream().map(row).toList();
        if (rows.size() < rows.getFirst().length) {
            out.printf("%-20s needs more samples than the terms %s%n", name, terms);
            return;
        }
        double[] values = samples.stream().mapToDouble(value).toArray();
        double[] coefficients = LinearFit.of(rows, values);
        StringBuilder text = new StringBuilder();
        for (double coefficient : coefficients) {
            text.append(String.format(" %11.5f", coefficient));
        }
        out.printf(
                "%-20s over (%s):%s  explains %.3f%n",
                name, terms, text, LinearFit.explained(rows, values, coefficients));
    }
}
