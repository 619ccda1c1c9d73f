package org.jujuberouter.capacity;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.entry.EntryDaemon;
import org.jujuberouter.entry.EntryOptions;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerTraffic;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsResult;
import org.jujuberouter.standin.StoreServer;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.ListedMember;

/**
 * Runs entry instances in this process with a stand-in store, member list and idle engines, all on loopback.
 *
 * <p>The number of engines can change while the instances run, so that one start serves all samples with the same
 * number of instances.
 */
public final class CapacityTestbed implements AutoCloseable {
    private static final List<String> DOMAINS = List.of("north", "east", "south");
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final Duration SETTINGS_TIMEOUT = Duration.ofSeconds(10);
    private static final long OWNERSHIP_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_INTERVAL_MILLIS = 200;
    private static final double NANOS_PER_SECOND = 1e9;

    private final StaticPlatformServer platform;
    private final StoreServer store;
    private final List<EntryDaemon> instances = new ArrayList<>();
    private final List<ListedMember> listedInstances = new ArrayList<>();
    private int endpointCount;

    private CapacityTestbed(StaticPlatformServer platform, StoreServer store) {
        this.platform = platform;
        this.store = store;
    }

    /** Starts the instances with the given number of customers in the settings and without endpoints. */
    public static CapacityTestbed start(int instances, int customers) throws IOException, InterruptedException {
        CapacityTestbed testbed = new CapacityTestbed(StaticPlatformServer.start(), StoreServer.start());
        testbed.writeSettings(customers);
        for (int i = 0; i < instances; i++) {
            testbed.startInstance(i);
        }
        testbed.setEndpointCount(0);
        return testbed;
    }

    private void writeSettings(int customers) throws IOException, InterruptedException {
        JsonNodeFactory json = JsonNodeFactory.instance;
        SettingsChange change = SettingsChange.of("capacity-1", "capacity", System.currentTimeMillis(), "set up", 0)
                .set("service/assistant/kind", json.textNode("inference"))
                .set(
                        "service/assistant/model/tray-70b/versions",
                        json.arrayNode().add("1"));
        for (int i = 0; i < customers; i++) {
            change = change.set("customer/customer-" + i + "/key-hash", json.textNode(String.format("%064x", i)));
        }
        for (String domain : DOMAINS) {
            change = change.set("domain/" + domain + "/region", json.textNode("one"));
        }
        SettingsResult result = SettingsEditor.of(
                        HttpPlatformStore.at(store.address()), Ticker.system(), SETTINGS_TIMEOUT)
                .apply(change);
        if (!(result instanceof SettingsResult.Accepted)) {
            throw new IOException("the settings were not accepted: " + result);
        }
    }

    private void startInstance(int i) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        String name = String.format("kk-entry-%02d", i);
        String domain = DOMAINS.get(i % DOMAINS.size());
        EntryDaemon instance = EntryDaemon.start(new EntryOptions(
                InstanceId.of(name),
                FailureDomain.of(domain),
                anyPort,
                anyPort,
                store.address(),
                platform.uri(),
                MAX_BODY_BYTES,
                Duration.ZERO,
                _ -> {}));
        instances.add(instance);
        listedInstances.add(new ListedMember(
                name,
                ListedMember.Role.INSTANCE,
                "",
                "127.0.0.1:" + instance.peerAddress().getPort(),
                domain,
                ListedMember.State.LIVE));
    }

    /** Changes the number of listed engines and waits up to 30 s until each has an owner. */
    public void setEndpointCount(int count) throws IOException, InterruptedException {
        endpointCount = count;
        List<ListedMember> members = new ArrayList<>(listedInstances);
        for (int i = 0; i < count; i++) {
            members.add(new ListedMember(
                    String.format("kk-engine-%04d", i),
                    ListedMember.Role.ENGINE,
                    "assistant",
                    platform.address(),
                    DOMAINS.get(i % DOMAINS.size()),
                    ListedMember.State.LIVE));
        }
        platform.setMembers(members);
        long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(OWNERSHIP_TIMEOUT_MILLIS).toNanos();
        while (ownedEndpoints() < count && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private int ownedEndpoints() {
        return instances.stream().mapToInt(EntryDaemon::ownedEndpoints).sum();
    }

    /** Returns the size of the encoded member list in bytes. */
    public int memberListSize() {
        return platform.memberListSize();
    }

    /** Measures the resource usage during the given time from now. */
    public CapacitySample measure(Duration window) throws InterruptedException {
        Map<String, PeerTraffic.Count> trafficBefore = trafficByMessage();
        Map<String, Long> storeCountsBefore = store.counts();
        long memberListBytesBefore = platform.memberListBytesSent();
        long engineReportBytesBefore = platform.engineReportBytesSent();
        long cpuNanosBefore = cpuNanos();
        long startNanos = System.nanoTime();
        Thread.sleep(window);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        double cpuSeconds = (cpuNanos() - cpuNanosBefore) / NANOS_PER_SECOND;
        Map<String, PeerTraffic.Count> traffic = trafficByMessage();
        traffic.replaceAll((name, count) -> count.minus(trafficBefore.get(name)));
        Map<String, Long> storeCounts = store.counts();
        return new CapacitySample(
                instances.size(),
                endpointCount,
                ownedEndpoints(),
                seconds,
                traffic,
                cpuSeconds,
                heapBytesAfterGc(),
                platform.memberListBytesSent() - memberListBytesBefore,
                platform.engineReportBytesSent() - engineReportBytesBefore,
                storeCounts.get("reads") - storeCountsBefore.get("reads"),
                storeCounts.get("writes") - storeCountsBefore.get("writes"),
                storeCounts.get("waitingWatches"));
    }

    private Map<String, PeerTraffic.Count> trafficByMessage() {
        Map<String, PeerTraffic.Count> total = new TreeMap<>();
        for (EntryDaemon instance : instances) {
            instance.peerTraffic()
                    .snapshot()
                    .forEach((name, count) -> total.merge(name, count, PeerTraffic.Count::plus));
        }
        return total;
    }

    /** Returns the CPU time of the process without that of the engines, the member list and the HTTP dispatchers. */
    private static long cpuNanos() {
        long totalNanos = ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (thread != null && isStandInThread(thread.getThreadName())) {
                totalNanos -= Math.max(0, threads.getThreadCpuTime(thread.getThreadId()));
            }
        }
        return totalNanos;
    }

    private static boolean isStandInThread(String threadName) {
        return threadName.startsWith(StaticPlatformServer.THREAD_NAME_PREFIX)
                || threadName.startsWith("HTTP-Dispatcher");
    }

    /** Runs a full garbage collection and returns the bytes of heap in use after it. */
    public static long heapBytesAfterGc() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    @Override
    public void close() {
        List<Thread> closing =
                instances.stream().map(i -> Thread.ofVirtual().start(i::close)).toList();
        try {
            for (Thread thread : closing) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
        platform.close();
    }
}
