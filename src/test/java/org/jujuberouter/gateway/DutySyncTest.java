package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.jujuberouter.duty.DutyResult;
import org.jujuberouter.duty.DutyTerm;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.platform.standin.CloudStandin;
import org.jujuberouter.platform.standin.CloudStandin.Call;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against usage reports of running instances that are missing, doubled, changed or made by two of them. */
class DutySyncTest {
    private StandinSite site;
    private CloudStandin cloud;
    private InstanceFixture fixture;
    private int expected;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(2, 2, 20);
        cloud = CloudStandin.start();
        site.setCloud(cloud.address(), 1);
        fixture = InstanceFixture.before(site, files);
    }

    @AfterEach
    void stopSite() {
        fixture.close();
        cloud.close();
        site.close();
    }

    private InstanceFixture.Instance start(String name) throws Exception {
        InstanceFixture.Instance instance = fixture.start(name);
        // The fixture sends requests until one is answered.
        expected++;
        return instance;
    }

    private void send(InstanceFixture.Instance instance, String path, String id) {
        assertEquals(200, fixture.send(instance.base(), path, id).join().statusCode());
        expected++;
    }

    private Stream<Call> accepted() {
        return cloud.calls().stream().filter(c -> c.status() == 200 && c.path().equals("/usage"));
    }

    private Map<Long, JsonNode> windows() {
        Map<Long, JsonNode> windows = new TreeMap<>();
        accepted()
                .forEach(c ->
                        windows.put(c.body().path("WindowId").asLong(), c.body().path("Counts")));
        return windows;
    }

    private long total() {
        return windows().values().stream()
                .mapToLong(c -> c.path("first").asLong())
                .sum();
    }

    /** Waits for the report of a window after the last request, so that a request counted twice shows. */
    private void awaitTotal() throws InterruptedException {
        long following = System.currentTimeMillis() / 1_000 + 1;
        InstanceFixture.await(() -> windows().keySet().stream().anyMatch(w -> w >= following));
        assertEquals(expected, total());
    }

    private long callsOf(String holder) {
        return cloud.calls().stream().filter(c -> c.holder().equals(holder)).count();
    }

    private String leader() {
        return accepted().toList().getLast().holder();
    }

    @Test
    void reportsTheRequestsOfAllInstancesOnce() throws Exception {
        InstanceFixture.Instance first = start("first");
        InstanceFixture.Instance second = start("second");
        for (int i = 0; i < 10; i++) {
            send(first, "/read/x", "plain-" + i);
            send(second, "/chat/stream", "stream-" + i);
        }
        awaitTotal();
        assertEquals(1, accepted().map(Call::token).distinct().count());
        List<Long> ids = List.copyOf(windows().keySet());
        assertEquals(ids.getLast() - ids.getFirst() + 1, ids.size(), "windows " + ids);
        assertEquals(ids.size(), accepted().count(), "a window was reported twice");
        first.daemon().close();
        second.daemon().close();
    }

    /** The requests that the stopping leader counted, and those that it had learned from others, must not be lost. */
    @Test
    void handsOverWhenTheLeaderStops() throws Exception {
        Map<String, InstanceFixture.Instance> instances = new HashMap<>();
        for (String name : List.of("first", "second", "third")) {
            instances.put(name, start(name));
        }
        awaitTotal();
        long token = accepted().toList().getLast().token();
        String former = leader();
        InstanceFixture.Instance stopping = instances.remove(former);
        send(stopping, "/read/x", "before-the-stop");
        Thread stop = Thread.startVirtualThread(() -> stopping.daemon().close());
        long begun = System.nanoTime();
        for (InstanceFixture.Instance other : instances.values()) {
            send(other, "/read/x", "during-the-stop-" + other.base().getPort());
        }
        Thread.sleep(500);
        long callsAtStop = callsOf(former);
        InstanceFixture.await(() -> !leader().equals(former));
        long tookMs = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(tookMs < 5_000, "the first report of the next leader took " + tookMs + " ms");
        awaitTotal();
        assertTrue(accepted().toList().getLast().token() > token);
        stop.join();
        assertEquals(callsAtStop, callsOf(former), "the leader went on while it stopped");
        instances.values().forEach(i -> i.daemon().close());
    }

    @Test
    void repeatsAReportUnchangedUntilItIsAccepted() throws Exception {
        cloud.setAvailable(false);
        InstanceFixture.Instance first = start("first");
        send(first, "/read/x", "while-the-api-is-down");
        InstanceFixture.await(() -> cloud.calls().size() >= 3);
        cloud.setAvailable(true);
        awaitTotal();
        Map<Long, JsonNode> sent = new HashMap<>();
        cloud.calls().forEach(c -> {
            JsonNode earlier = sent.putIfAbsent(c.body().path("WindowId").asLong(), c.body());
            assertEquals(earlier == null ? c.body() : earlier, c.body());
        });
        first.daemon().close();
    }

    /** A refused token may not be used again, and its instance has to make room for another one. */
    @Test
    void leavesADutyWhoseTokenIsRefused() throws Exception {
        InstanceFixture.Instance first = start("first");
        InstanceFixture.Instance second = start("second");
        awaitTotal();
        Call last = accepted().toList().getLast();
        cloud.refuseBelow(last.token() + 1);
        InstanceFixture.await(() -> accepted().toList().getLast().token() > last.token());
        assertNotEquals(last.holder(), leader());
        assertEquals(1, cloud.calls().stream().filter(c -> c.status() == 409).count());
        first.daemon().close();
        second.daemon().close();
    }

    /** Guards against orders of instances that do not lead, and against demand that does not reach the leader. */
    @Test
    void givesTheDemandOfAllInstancesToTheTasksOfTheLeaderAndSendsItsOrders() throws Exception {
        List<InstanceFixture.Instance> instances = List.of(start("first"), start("second"));
        Set<String> sources = ConcurrentHashMap.newKeySet();
        List<DutyResult> results = new CopyOnWriteArrayList<>();
        ServiceName service = ServiceName.of("assistant");
        FailureDomain north = FailureDomain.of("north");
        for (InstanceFixture.Instance instance : instances) {
            instance.daemon().withDuties(d -> {
                d.setDemand(() -> List.of(new ServiceDemand(service, north, 5, 7, 1, 2)));
                d.orderEngines(new DutyTerm(StorePosition.of(0, 1)), service, north, 9, results::add);
                d.addTask((term, listed, demands) -> {
                    demands.stream()
                            .filter(r -> listed == 2 && !r.demand().isEmpty() && r.ageMs() < 2_000)
                            .forEach(r -> sources.add(r.source().instance().value()));
                    d.orderEngines(term, service, north, 3, results::add);
                });
            });
        }
        InstanceFixture.await(() -> sources.size() == 2 && results.contains(DutyResult.ACCEPTED));
        List<Call> orders =
                cloud.calls().stream().filter(c -> c.path().equals("/scale")).toList();
        assertEquals(
                "{\"Service\":\"assistant\",\"Zone\":\"north\",\"DesiredCount\":3}",
                orders.getFirst().body().toString());
        assertEquals(1, orders.stream().map(Call::holder).distinct().count());
        assertEquals(List.of(DutyResult.NOT_SENT, DutyResult.NOT_SENT), results.subList(0, 2));
        instances.forEach(i -> i.daemon().close());
    }

    @Test
    void writesNothingAndCallsNobodyWithoutTheEntryInTheSettings() throws Exception {
        try (StandinSite plain = StandinSite.start(1, 1, 20);
                InstanceFixture other = InstanceFixture.before(plain, files)) {
            InstanceFixture.Instance instance = other.start("plain");
            Thread.sleep(2_500);
            assertEquals(List.of(), plain.store().keys("duties/"));
            assertEquals(List.of(), cloud.calls());
            instance.daemon().close();
        }
    }
}
