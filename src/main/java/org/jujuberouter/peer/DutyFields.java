package org.jujuberouter.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.duty.InstanceReport;
import org.jujuberouter.duty.LeaderReply;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.duty.WindowCounts;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.ServiceName;

/** Reads and writes the fields of the messages between instances and their leader. */
final class DutyFields {
    private DutyFields() {}

    static void write(FieldWriter out, InstanceReport report) throws IOException, PeerException {
        out.number(report.wallMs()).number(report.uptimeMs()).number(report.countedUntilMs());
        out.list("windows", PeerCodec.MAX_WINDOWS, report.counts());
        for (WindowCounts w : report.counts()) {
            out.group(4).incarnation(w.source()).number(w.window());
            out.list("customers", PeerCodec.MAX_CUSTOMERS, w.counts().entrySet());
            for (Map.Entry<CustomerId, Long> e : w.counts().entrySet()) {
                out.group(2).text(e.getKey()).number(e.getValue());
            }
        }
        out.list("services", PeerCodec.MAX_SERVICES, report.demand());
        for (ServiceDemand d : report.demand()) {
            out.group(6).text(d.service()).text(d.domain());
            out.decimal(d.prefillMs()).decimal(d.slotMs()).number(d.waiting()).number(d.refused());
        }
    }

    static void write(FieldWriter out, LeaderReply reply) throws IOException, PeerException {
        // A correction may be negative, as a ticker time.
        out.tickerTime(reply.correctionMs()).number(reply.lastCommitted()).number(reply.uptimeMs());
    }

    static InstanceReport readReport(FieldReader in) throws IOException, PeerException {
        long wallMs = in.number("wall clock");
        long uptimeMs = in.number("uptime");
        long countedUntilMs = in.number("time of the counts");
        List<WindowCounts> counts =
                in.list("windows", PeerCodec.MAX_WINDOWS, e -> e.struct("window", 4, DutyFields::window));
        return new InstanceReport(
                wallMs,
                uptimeMs,
                countedUntilMs,
                counts,
                in.list("services", PeerCodec.MAX_SERVICES, e -> e.struct("service", 6, DutyFields::demand)));
    }

    private static WindowCounts window(FieldReader in) throws IOException, PeerException {
        Incarnation source = PeerCodec.incarnation(in);
        long window = in.number("window");
        Map<CustomerId, Long> counts = new HashMap<>();
        in.list(
                "customers",
                PeerCodec.MAX_CUSTOMERS,
                e -> e.struct("count", 2, r -> counts.put(r.id("customer", CustomerId::of), r.number("count"))));
        return new WindowCounts(source, window, counts);
    }

    private static ServiceDemand demand(FieldReader in) throws IOException, PeerException {
        return new ServiceDemand(
                in.id("service", ServiceName::of),
                in.id("domain", FailureDomain::of),
                in.decimal("prefill"),
                in.decimal("slots"),
                (int) Math.min(Integer.MAX_VALUE, in.number("waiting")),
                in.number("refused"));
    }

    static LeaderReply readReply(FieldReader in) throws IOException, PeerException {
        return new LeaderReply(in.tickerTime(), in.number("last committed window"), in.number("uptime"));
    }
}
