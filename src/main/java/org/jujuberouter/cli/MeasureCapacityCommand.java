package org.jujuberouter.cli;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jujuberouter.capacity.CapacityReport;
import org.jujuberouter.capacity.CapacitySample;
import org.jujuberouter.capacity.CapacityTestbed;
import org.jujuberouter.capacity.MicroBenchmarks;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of idle instances by number of instances and endpoints, and prints fitted slopes. */
@Command(
        name = "measure-capacity",
        mixinStandardHelpOptions = true,
        description = "Measures traffic, processor time, heap and store calls of idle instances on loopback.")
public final class MeasureCapacityCommand implements Callable<Integer> {
    @Option(
            names = "--instances",
            split = ",",
            defaultValue = "2,4,8,16",
            description = "numbers of instances (default ${DEFAULT-VALUE})")
    private List<Integer> instances;

    @Option(
            names = "--endpoints",
            split = ",",
            defaultValue = "0,15,60,120,240",
            description = "numbers of endpoints (default ${DEFAULT-VALUE})")
    private List<Integer> endpoints;

    @Option(names = "--customers", defaultValue = "630", description = "customers (default ${DEFAULT-VALUE})")
    private int customers;

    @Option(
            names = "--settle-s",
            defaultValue = "8",
            description = "settling time before each measurement window, in seconds (default ${DEFAULT-VALUE})")
    private int settleSeconds;

    @Option(
            names = "--window-s",
            defaultValue = "10",
            description = "measurement window in seconds (default ${DEFAULT-VALUE})")
    private int windowSeconds;

    @Option(
            names = "--warm-up-s",
            defaultValue = "20",
            description =
                    "seconds to run 4 instances beforehand, so that code is JIT-compiled (default ${DEFAULT-VALUE})")
    private int warmUpSeconds;

    @Option(names = "--micro", description = "measure single operations only, without running instances")
    private boolean micro;

    @Spec
    private CommandSpec spec;

    public static MeasureCapacityCommand of() {
        return new MeasureCapacityCommand();
    }

    private MeasureCapacityCommand() {}

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (micro) {
            MicroBenchmarks.of(out).run();
            return 0;
        }
        if (warmUpSeconds > 0) {
            try (CapacityTestbed testbed = CapacityTestbed.start(4, customers)) {
                testbed.setEndpointCount(60);
                Thread.sleep(Duration.ofSeconds(warmUpSeconds));
            }
        }
        out.printf("heap before the first site: %.1f MB%n", CapacityTestbed.heapBytesAfterGc() / 1e6);
        CapacityReport.printHeading(out);
        List<CapacitySample> samples = new ArrayList<>();
        for (int instanceCount : instances) {
            try (CapacityTestbed testbed = CapacityTestbed.start(instanceCount, customers)) {
                for (int endpointCount : endpoints) {
                    testbed.setEndpointCount(endpointCount);
                    Thread.sleep(Duration.ofSeconds(settleSeconds));
                    CapacitySample sample = testbed.measure(Duration.ofSeconds(windowSeconds));
                    samples.add(sample);
                    CapacityReport.printRow(out, sample);
                }
                out.printf("          list %d bytes%n", testbed.memberListSize());
            }
        }
        CapacityReport.of(out, samples).printFits();
        return 0;
    }
}
