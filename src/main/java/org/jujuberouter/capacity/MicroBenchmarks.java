package org.jujuberouter.capacity;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.jujuberouter.admission.AdmissionAuthority;
import org.jujuberouter.admission.AdmissionController;
import org.jujuberouter.admission.Capacity;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.EndpointReport;
import org.jujuberouter.admission.HolderLiveness;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.limits.CustomerLimiter;
import org.jujuberouter.limits.LimitKey;
import org.jujuberouter.membership.Membership;
import org.jujuberouter.misc.Json;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerCodec;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.SampleMessages;
import org.jujuberouter.routing.EndpointSpec;
import org.jujuberouter.routing.PromptBlocks;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.RoutingSettings;
import org.jujuberouter.routing.ServiceVariant;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.store.ListedMember;

/** Benchmarks single operations at design scale, each on one thread after a warm-up of as many iterations. */
public final class MicroBenchmarks {
    private static final int INSTANCES = 410;
    private static final int ENGINES = 1400;
    private static final int CUSTOMERS = 630;
    private static final int PROMPT_BLOCKS = 30;
    private static final long PROMPT_TOKENS = 7_800;
    private static final long TOTAL_TOKENS = 8_312;
    private static final long KV_TOKENS = 1_800_000;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final FailureDomain DOMAIN = FailureDomain.of("north");
    private static final ServiceVariant VARIANT =
            ServiceVariant.of(ServiceName.of("assistant"), ModelName.of("tray-70b"), "", "");

    private final PrintWriter out;

    private MicroBenchmarks(PrintWriter out) {
        this.out = out;
    }

    /** Returns benchmarks that print to the writer. */
    public static MicroBenchmarks of(PrintWriter out) {
        return new MicroBenchmarks(out);
    }

    /** Runs all benchmarks and prints the results. */
    public void run() throws Exception {
        benchmarkPeerMessages();
        benchmarkPermits();
        benchmarkRouting();
        benchmarkSettings();
        benchmarkMembership();
        benchmarkMemberList();
        measureHeap();
        out.flush();
    }

    private void benchmark(String name, int iterations, Callable<?> operation) throws Exception {
        for (int i = 0; i < iterations; i++) {
            operation.call();
        }
        long start = System.nanoTime();
        for (int i = 0; i < iterations; i++) {
            operation.call();
        }
        out.printf("%-56s %10.2f us%n", name, (System.nanoTime() - start) / NANOS_PER_MICRO / iterations);
        out.flush();
    }

    private void benchmarkPeerMessages() throws Exception {
        for (PeerMessage message : SampleMessages.all()) {
            byte[] frame = PeerCodec.encode(message);
            String name = message.getClass().getSimpleName();
            benchmark(name + ", " + (frame.length + 4) + " bytes, encode", 5_000, () -> PeerCodec.encode(message));
            benchmark(name + ", decode", 5_000, () -> PeerCodec.decode(frame));
        }
        for (int endpoints : new int[] {0, 4}) {
            for (int customers : new int[] {0, 10, 32}) {
                int size = PeerCodec.encode(heartbeat(endpoints, customers)).length + 4;
                out.printf("Heartbeat, %d endpoints, %d customers: %d bytes%n", endpoints, customers, size);
            }
        }
    }

    private static PeerMessage.Heartbeat heartbeat(int endpoints, int customers) {
        PeerMessage.Heartbeat sample = SampleMessages.all().stream()
                .filter(PeerMessage.Heartbeat.class::isInstance)
                .map(PeerMessage.Heartbeat.class::cast)
                .findFirst()
                .orElseThrow();
        return new PeerMessage.Heartbeat(
                sample.sequence(),
                sample.settingsVersion(),
                Collections.nCopies(endpoints, sample.endpoints().getFirst()),
                Collections.nCopies(customers, sample.demand().getFirst()),
                false);
    }

    private void benchmarkPermits() throws Exception {
        ManualTicker ticker = ManualTicker.atZero();
        AdmissionController controller = controller(ticker, 0);
        long[] number = {0};
        benchmark("permit at the owner: request, start, release", 50_000, () -> {
            String name = "request-" + number[0]++;
            Decision decision = controller.request(new PermitRequest(
                    RequestId.of(name),
                    Incarnation.of(InstanceId.of("holder"), 1),
                    CustomerId.of("customer"),
                    1,
                    PromptClass.SHORT,
                    TOTAL_TOKENS,
                    Fingerprint.of(name),
                    false,
                    ticker.nanos() + Duration.ofMinutes(1).toNanos()));
            if (!(decision instanceof Decision.Granted granted)) {
                throw new IllegalStateException("not granted: " + decision);
            }
            controller.started(granted.permit().id());
            controller.release(granted.permit().ref(), PermitEnd.COMPLETED);
            return decision;
        });
        benchmark("tick of an idle admission controller", 50_000, () -> {
            controller.tick();
            return controller;
        });
    }

    private static AdmissionController controller(ManualTicker ticker, int number) {
        AdmissionAuthority authority = new AdmissionAuthority.Held(1, 0, b -> b, b -> b, b -> 0);
        AdmissionController controller =
                AdmissionController.ofEngine(ticker, engineId(number), () -> authority, new AllHoldersLive());
        Capacity warmCapacity = Capacity.of(32, KV_TOKENS);
        // Ramps up to full capacity: the capacity bound doubles every 5 s, and no permit is granted before the engine
        // sends a request list that is newer than the takeover.
        for (int i = 0; i < 30; i++) {
            ticker.advance(Duration.ofSeconds(1));
            controller.report(new EndpointReport(1, false, false, warmCapacity, warmCapacity), ticker.nanos());
            controller.listed(List.of(), ticker.nanos());
            controller.tick();
        }
        return controller;
    }

    private static EndpointId engineId(int number) {
        return EndpointId.of(String.format("kk-engine-%04d", number));
    }

    private static Router router(int endpoints) {
        Ticker ticker = Ticker.system();
        Router router = Router.of(RoutingSettings.in(DOMAIN), ticker, 1);
        router.setOffered(Set.of(VARIANT));
        for (int i = 0; i < endpoints; i++) {
            router.putEndpoint(EndpointSpec.of(engineId(i), DOMAIN, Set.of(VARIANT), KV_TOKENS));
            router.reportLoad(engineId(i), loadReport(ticker));
        }
        return router;
    }

    private static ReportedLoad loadReport(Ticker ticker) {
        return new ReportedLoad(ticker.nanos(), 8, 32, new ReportedLoad.Pending(9_000, 0, 60_000), 412_000);
    }

    private void benchmarkRouting() throws Exception {
        RouteRequest request =
                RouteRequest.of(VARIANT, PROMPT_TOKENS, 512, PromptBlocks.ofContents(new long[PROMPT_BLOCKS]));
        for (int endpoints : new int[] {15, 120, ENGINES}) {
            Router router = router(endpoints);
            benchmark("routing decision, " + endpoints + " endpoints of a model", 2_000, () -> router.route(request));
            benchmark("load report into routing, " + endpoints + " endpoints", 20_000, () -> {
                router.reportLoad(engineId(0), loadReport(Ticker.system()));
                return router;
            });
        }
    }

    private static SettingsDocument settingsDocument() {
        SortedMap<String, JsonNode> values = new TreeMap<>();
        JsonNodeFactory json = JsonNodeFactory.instance;
        values.put("service/assistant/kind", json.textNode("inference"));
        for (int i = 0; i < CUSTOMERS; i++) {
            String customer = String.format("customer/customer-%04d/", i);
            values.put(customer + "key-hash", json.textNode(String.format("%064x", i)));
            values.put(customer + "weight", json.numberNode(2.5));
            values.put(customer + "limits.requests-per-second", json.numberNode(250));
        }
        return new SettingsDocument(1, values, List.of());
    }

    private void benchmarkSettings() throws Exception {
        byte[] json = settingsDocument().encode();
        benchmark("settings of " + json.length + " bytes, decode", 100, () -> SettingsDocument.decode(json));
        benchmark("settings, decode and index", 100, () -> Settings.of(SettingsDocument.decode(json)));
    }

    private static List<Membership.ListedInstance> listedInstances() {
        List<Membership.ListedInstance> listed = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            listed.add(new Membership.ListedInstance(instanceId(i), DOMAIN, "10.0.0.1:8400", false));
        }
        return listed;
    }

    private static InstanceId instanceId(int number) {
        return InstanceId.of(String.format("kk-entry-%03d", number));
    }

    private void benchmarkMembership() throws Exception {
        Membership membership = Membership.of(Ticker.system(), instanceId(0), DOMAIN);
        List<Membership.ListedInstance> listed = listedInstances();
        membership.listReceived(listed);
        int[] counter = {0};
        benchmark("heartbeat into a view of 410 instances", 2_000, () -> {
            membership.heartbeatReceived(
                    Incarnation.of(instanceId(1 + counter[0]++ % 16), 1), DOMAIN, "10.0.0.1:8400", false);
            return membership;
        });
        benchmark("same list into a view of 410 instances", 500, () -> {
            membership.listReceived(listed);
            return membership;
        });
        benchmark("list with one instance more or less, 410 instances", 5, () -> {
            membership.listReceived(counter[0]++ % 2 == 0 ? listed : listed.subList(0, INSTANCES - 1));
            return membership;
        });
    }

    private void benchmarkMemberList() throws Exception {
        List<ListedMember> members = new ArrayList<>();
        for (int i = 0; i < INSTANCES + ENGINES; i++) {
            ListedMember.Role role = i < INSTANCES ? ListedMember.Role.INSTANCE : ListedMember.Role.ENGINE;
            members.add(new ListedMember(
                    engineId(i).value(), role, "assistant", "10.0.12.17:8400", "north", ListedMember.State.LIVE));
        }
        byte[] json = Json.MAPPER.writeValueAsBytes(members);
        benchmark(
                "list of 1,810 members, " + json.length + " bytes, decode",
                100,
                () -> Json.MAPPER.readValue(json, new TypeReference<List<ListedMember>>() {}));
    }

    private void measureHeap() throws Exception {
        measureHeapPerItem("heap of routing for an endpoint", ENGINES, () -> router(ENGINES));
        measureHeapPerItem("heap of an idle admission controller", ENGINES, () -> {
            List<AdmissionController> controllers = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                controllers.add(controller(ManualTicker.atZero(), i));
            }
            return controllers;
        });
        measureHeapPerItem("heap of a customer in limits", CUSTOMERS, () -> {
            CustomerLimiter limiter = CustomerLimiter.of(instanceId(0), Ticker.system());
            for (int i = 0; i < CUSTOMERS; i++) {
                limiter.admit(LimitKey.of(CustomerId.of("customer-" + i), ServiceName.of("assistant")), 1, false);
            }
            return limiter;
        });
        measureHeapPerItem(
                "heap of a customer in the settings",
                CUSTOMERS,
                () -> Settings.of(SettingsDocument.decode(settingsDocument().encode())));
        measureHeapPerItem("heap of an instance in the membership view", INSTANCES, () -> {
            Membership membership = Membership.of(Ticker.system(), instanceId(0), DOMAIN);
            membership.listReceived(listedInstances());
            return membership;
        });
    }

    private void measureHeapPerItem(String name, int count, Callable<?> factory) throws Exception {
        factory.call();
        long usedBytesBefore = CapacityTestbed.heapBytesAfterGc();
        Object retained = factory.call();
        long usedBytes = CapacityTestbed.heapBytesAfterGc() - usedBytesBefore;
        out.printf("%-56s %10.0f bytes%n", name, (double) usedBytes / count);
        java.lang.ref.Reference.reachabilityFence(retained);
    }

    private static final class AllHoldersLive implements HolderLiveness {
        @Override
        public boolean isPresumedDead(Incarnation holder) {
            return false;
        }

        @Override
        public boolean isTerminated(Incarnation holder) {
            return false;
        }
    }
}
