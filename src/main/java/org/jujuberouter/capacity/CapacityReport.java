package org.jujuberouter.capacity;

import java.io.PrintWriter;
import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Prints capacity samples and linear models of how the measured values scale with instances and endpoints. */
public final class CapacityReport {
    /** Maximum number of peers to which an instance sends heartbeats. */
    private static final int MAX_HEARTBEAT_PEERS = 16;

    private final PrintWriter out;
    private final List<CapacitySample> samples;

    private CapacityReport(PrintWriter out, List<CapacitySample> samples) {
        this.out = out;
        this.samples = samples;
    }

    public static CapacityReport of(PrintWriter out, List<CapacitySample> samples) {
        return new CapacityReport(out, samples);
    }

    /** Prints the column titles. */
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

    /** Prints a sample, and below it the traffic by peer message. */
    public static void printRow(PrintWriter out, CapacitySample sample) {
        out.printf(
                "%4d %4d %5d %8.1f %9.0f %7.2f %8.1f %9.0f %9.0f %7.2f %7.2f %7d%n",
                sample.instances(),
                sample.endpoints(),
                sample.ownedEndpoints(),
                sample.framesPerSecond(),
                sample.bytesPerSecond(),
                sample.corePercent(),
                sample.heapMegabytes(),
                sample.memberListBytesPerSecond(),
                sample.engineReportBytesPerSecond(),
                sample.storeReads() / sample.seconds(),
                sample.storeWrites() / sample.seconds(),
                sample.waitingWatches());
        sample.nonZeroTraffic()
                .forEach((name, count) -> out.printf(
                        "          %-14s %8.2f frames/s %9.1f bytes/s%n",
                        name,
                        count.framesOut() / sample.seconds() / sample.instances(),
                        count.bytesOut() / sample.seconds() / sample.instances()));
        out.flush();
    }

    /** Prints the fitted models; n is the number of instances, e of endpoints, p of heartbeat peers of an instance. */
    public void printFits() {
        out.println("fitted by least squares; p = min(n - 1, 16)");
        printFit(
                "frames/s",
                "1, n-1",
                sample -> new double[] {1, sample.instances() - 1},
                CapacitySample::framesPerSecond);
        printFit(
                "bytes/s",
                "1, n-1, p, p e/n",
                sample -> new double[] {
                    1,
                    sample.instances() - 1,
                    heartbeatPeers(sample),
                    heartbeatPeers(sample) * endpointsPerInstance(sample)
                },
                CapacitySample::bytesPerSecond);
        printFit(
                "core %",
                "1, n-1, e, e/n, p e/n",
                sample -> new double[] {
                    1,
                    sample.instances() - 1,
                    sample.endpoints(),
                    endpointsPerInstance(sample),
                    heartbeatPeers(sample) * endpointsPerInstance(sample)
                },
                CapacitySample::corePercent);
        printFit(
                "heap MB an instance",
                "1, 1/n, n-1, e",
                sample -> new double[] {1, 1.0 / sample.instances(), sample.instances() - 1, sample.endpoints()},
                CapacitySample::heapMegabytes);
        printFit(
                "list bytes/s",
                "n, e",
                sample -> new double[] {sample.instances(), sample.endpoints()},
                CapacitySample::memberListBytesPerSecond);
        printFit(
                "engine bytes/s",
                "e/n",
                sample -> new double[] {endpointsPerInstance(sample)},
                CapacitySample::engineReportBytesPerSecond);
        printFit(
                "store reads/s",
                "n",
                sample -> new double[] {sample.instances()},
                sample -> sample.storeReads() / sample.seconds());
        printFit(
                "store writes/s",
                "n",
                sample -> new double[] {sample.instances()},
                sample -> sample.storeWrites() / sample.seconds());
        out.flush();
    }

    private static double heartbeatPeers(CapacitySample sample) {
        return Math.min(sample.instances() - 1, MAX_HEARTBEAT_PEERS);
    }

    private static double endpointsPerInstance(CapacitySample sample) {
        return (double) sample.endpoints() / sample.instances();
    }

    private void printFit(
            String name,
            String terms,
            Function<CapacitySample, double[]> termsOf,
            ToDoubleFunction<CapacitySample> value) {
        List<double[]> rows = samples.stream().map(termsOf).toList();
        if (rows.size() < rows.getFirst().length) {
            out.printf("%-20s needs more samples than the terms %s%n", name, terms);
            return;
        }
        double[] values = samples.stream().mapToDouble(value).toArray();
        double[] coefficients = LeastSquares.fit(rows, values);
        StringBuilder text = new StringBuilder();
        for (double coefficient : coefficients) {
            text.append(String.format(" %11.5f", coefficient));
        }
        out.printf(
                "%-20s over (%s):%s  explains %.3f%n",
                name, terms, text, LeastSquares.rSquared(rows, values, coefficients));
    }
}
