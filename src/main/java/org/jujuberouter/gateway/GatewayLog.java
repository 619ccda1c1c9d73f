package org.jujuberouter.gateway;

import java.util.Map;
import org.jujuberouter.catalog.Call;

/** The lines that an instance logs: one for each decision on a call and for each change of what it believes. */
final class GatewayLog {
    private static final System.Logger LOG = System.getLogger("org.jujuberouter.gateway");
    private static final System.Logger.Level INFO = System.Logger.Level.INFO;

    private final String instance;

    private GatewayLog(String instance) {
        this.instance = instance;
    }

    static GatewayLog of(String instance) {
        return new GatewayLog(instance);
    }

    /** Logs a decision on a call. */
    void call(String what, Call call, Map.Entry<?, ?>... fields) {
        Object[] all = new Object[fields.length + 2];
        all[0] = Map.entry("request", call.id());
        all[1] = Map.entry("instance", instance);
        System.arraycopy(fields, 0, all, 2, fields.length);
        LOG.log(INFO, "[call] " + what, all);
    }

    /** Logs a request that did not become a call. */
    void rejected(int status, String reason) {
        LOG.log(INFO, "[caller] rejected a request", Map.entry("status", status), Map.entry("reason", reason));
    }

    /** Logs a change of what the instance believes. */
    void belief(String what, Map.Entry<?, ?>... fields) {
        LOG.log(INFO, "[state] " + what, (Object[]) fields);
    }

    /** Logs a defect of this program. */
    void fault(String where, Throwable cause) {
        LOG.log(System.Logger.Level.ERROR, "[fault] " + where, cause);
    }
}
