package org.jujuberouter.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Tests that no view considers a live instance dead or a dead one live. */
class MembershipTest {
    private static final FailureDomain DOMAIN = FailureDomain.of("d");
    private static final InstanceId SELF = InstanceId.of("self");
    private static final InstanceId OTHER = InstanceId.of("other");

    private final ManualTicker ticker = ManualTicker.atZero();
    private final Membership view = Membership.of(ticker, SELF, DOMAIN);

    @Test
    void suspectsAfterThreeSecondsAndDeclaresDeadAfterTen() {
        receiveList(OTHER);
        receiveHeartbeat(1);
        advance(2_900);
        assertEquals(MemberState.LIVE, view.state(OTHER));
        advance(200);
        assertEquals(MemberState.SUSPECT, view.state(OTHER));
        assertEquals(Set.of(SELF), view.live());
        advance(7_000);
        assertEquals(MemberState.DEAD, view.state(OTHER));
        receiveHeartbeat(1);
        assertEquals(MemberState.LIVE, view.state(OTHER));
    }

    @Test
    void countsAsAbsentOnlyWhileNeitherListedNorHeard() {
        receiveList(OTHER);
        receiveList();
        receiveHeartbeat(1);
        advance(4_000);
        assertEquals(4_000_000_000L, view.absentNanos(OTHER));
        assertFalse(view.isTerminated(Incarnation.of(OTHER, 1)));
        advance(6_000);
        assertTrue(view.isTerminated(Incarnation.of(OTHER, 1)));
        assertFalse(
                view.isTerminated(Incarnation.of(OTHER, 2)),
                "the list may still reflect the end of the earlier incarnation");
        assertFalse(view.dead(Incarnation.of(OTHER, 2)));
        receiveList(OTHER);
        assertEquals(0, view.absentNanos(OTHER));
        receiveHeartbeat(5);
        assertTrue(view.dead(Incarnation.of(OTHER, 1)), "a later incarnation is known");
    }

    @Test
    void judgesInstancesThatSendNoHeartbeatsHereByTheList() {
        List<InstanceId> all = fleet(60);
        Membership membership = Membership.of(ticker, all.getFirst(), DOMAIN);
        membership.listReceived(all.stream().map(id -> row(id, false)).toList());
        advance(60_000);
        membership.tick();
        Set<InstanceId> senders = HeartbeatPeers.senders(all.getFirst(), all);
        for (InstanceId id : all.subList(1, 60)) {
            assertEquals(senders.contains(id) ? MemberState.DEAD : MemberState.LIVE, membership.state(id), id.value());
        }
    }

    @Test
    void showsLeavingInstancesAsLeavingAndNotAsLive() {
        view.listReceived(List.of(row(OTHER, true)));
        assertEquals(MemberState.LEAVING, view.state(OTHER));
        assertFalse(view.live().contains(OTHER));
    }

    @Test
    void reachesEveryInstanceThroughTheHeartbeatGraph() {
        for (int size : new int[] {2, 16, 17, 100, 410}) {
            List<InstanceId> all = fleet(size);
            Set<InstanceId> reached = new HashSet<>();
            ArrayDeque<InstanceId> next = new ArrayDeque<>(List.of(all.getFirst()));
            while (!next.isEmpty()) {
                InstanceId id = next.poll();
                if (reached.add(id)) {
                    Set<InstanceId> peers = HeartbeatPeers.select(id, all);
                    assertEquals(Math.min(size - 1, HeartbeatPeers.FANOUT), peers.size());
                    next.addAll(peers);
                }
            }
            assertEquals(size, reached.size());
        }
    }

    private void receiveList(InstanceId... ids) {
        view.listReceived(List.of(ids).stream().map(id -> row(id, false)).toList());
    }

    private static Membership.ListedInstance row(InstanceId id, boolean leaving) {
        return new Membership.ListedInstance(id, DOMAIN, "address", leaving);
    }

    private void receiveHeartbeat(long incarnation) {
        view.heartbeatReceived(Incarnation.of(OTHER, incarnation), DOMAIN, "address", false);
    }

    private void advance(long ms) {
        ticker.advance(Duration.ofMillis(ms));
        view.tick();
    }

    private static List<InstanceId> fleet(int size) {
        List<InstanceId> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(InstanceId.of("instance-" + i));
        }
        return all;
    }
}
