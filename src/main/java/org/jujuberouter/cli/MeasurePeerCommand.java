package org.jujuberouter.cli;

import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerCodec;
import org.jujuberouter.peer.PeerConnection;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerListener;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerMessage.EndpointTarget;
import org.jujuberouter.peer.PeerMessage.PermitGranted;
import org.jujuberouter.peer.PeerMessage.PermitReply;
import org.jujuberouter.peer.PeerMessage.PermitRequest;
import org.jujuberouter.peer.PeerNetwork;
import org.jujuberouter.peer.SampleMessages;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the encoded size of each peer message and the round-trip time of a call on loopback. */
@Command(
        name = "measure-peer",
        mixinStandardHelpOptions = true,
        description = "Prints message sizes and the round-trip time of a call between two instances on loopback.")
public final class MeasurePeerCommand implements Callable<Integer> {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long CONNECT_TIMEOUT_MS = 5000;

    @Option(
            names = "--calls",
            defaultValue = "20000",
            description = "number of measured calls (default ${DEFAULT-VALUE})")
    private int calls;

    @Option(
            names = "--warm-up",
            defaultValue = "20000",
            description = "calls before the measurement (default ${DEFAULT-VALUE})")
    private int warmUp;

    @Spec
    private CommandSpec spec;

    public static MeasurePeerCommand of() {
        return new MeasurePeerCommand();
    }

    private MeasurePeerCommand() {}

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%-16s %8s%n", "message", "bytes");
        for (PeerMessage message : SampleMessages.all()) {
            out.printf("%-16s %8d%n", message.getClass().getSimpleName(), PeerCodec.encode(message).length + 4);
        }
        try (PeerNetwork owner = start("owner", MeasurePeerCommand::grant);
                PeerNetwork caller = start("asker", (from, message) -> {})) {
            caller.connectTo(List.of(owner.address()));
            long deadlineNanos = System.nanoTime() + CONNECT_TIMEOUT_MS * 1_000_000;
            while (caller.connected().isEmpty() && System.nanoTime() < deadlineNanos) {
                Thread.sleep(1);
            }
            measure(caller, warmUp);
            Histogram roundTripNanos = measure(caller, calls);
            out.printf(
                    "round trip of %d calls one after another: median %.1f us, 99th percentile %.1f us%n",
                    calls,
                    roundTripNanos.getValueAtPercentile(50) / 1e3,
                    roundTripNanos.getValueAtPercentile(99) / 1e3);
        }
        out.flush();
        return 0;
    }

    private static Histogram measure(PeerNetwork caller, int count) throws PeerException, InterruptedException {
        Histogram nanos = new Histogram(3);
        PermitRequest request = SampleMessages.request(new EndpointTarget(EndpointId.of("kk-engine-17")));
        for (int i = 0; i < count; i++) {
            long start = System.nanoTime();
            caller.call(InstanceId.of("owner"), request, CALL_TIMEOUT);
            nanos.recordValue(System.nanoTime() - start);
        }
        return nanos;
    }

    private static PeerNetwork start(String name, PeerListener listener) throws java.io.IOException {
        return PeerNetwork.start(
                Incarnation.of(InstanceId.of(name), 1),
                FailureDomain.of("loopback"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Ticker.system(),
                listener);
    }

    private static void grant(PeerConnection from, PeerMessage message) {
        if (message instanceof PermitRequest request) {
            try {
                from.send(new PermitReply(
                        request.callId(),
                        new PermitGranted(90_001, EndpointId.of("kk-engine-17"), 17, 1_000, "kk-engine-17@41")));
            } catch (PeerException e) {
                throw new IllegalStateException(e.getMessage(), e);
            }
        }
    }
}
