package org.jujuberouter.gateway;

import java.util.Map;
import org.jujuberouter.catalog.Call;
import org.jujuberouter.telemetry.LineLog;

/** The lines that an instance logs: one for each decision on a call and for each change of what it believes. */
final class GatewayLog {
    private static final System.Logger STATE = System.getLogger("org.jujuberouter.gateway");
    private static final System.Logger REQUESTS = System.getLogger(LineLog.REQUESTS);

    private GatewayLog() {}

    static GatewayLog create() {
        return new GatewayLog();
    }

    /** Logs a decision on a call that goes as it should. */
    void call(String what, Call call, Map.Entry<?, ?>... fields) {
        log(System.Logger.Level.INFO, what, call, fields);
    }

    /** Logs a decision on a call that failed or was refused; such lines are kept in preference. */
    void callFailed(String what, Call call, Map.Entry<?, ?>... fields) {
        log(System.Logger.Level.WARNING, what, call, fields);
    }

    private static void log(System.Logger.Level level, String what, Call call, Map.Entry<?, ?>... fields) {
        Object[] all = new Object[fields.length + 1];
        all[0] = Map.entry("request", call.id());
        System.arraycopy(fields, 0, all, 1, fields.length);
        REQUESTS.log(level, "[call] " + what, all);
    }

    /** Logs a request that did not become a call. */
    void rejected(int status, String reason) {
        REQUESTS.log(
                System.Logger.Level.WARNING,
                "[caller] rejected a request",
                Map.entry("status", status),
                Map.entry("reason", reason));
    }

    /** Logs a change of what the instance believes. */
    void stateChanged(String what, Map.Entry<?, ?>... fields) {
        STATE.log(System.Logger.Level.INFO, "[state] " + what, (Object[]) fields);
    }

    /** Logs a defect of this program. */
    void fault(String where, Throwable cause) {
        STATE.log(System.Logger.Level.ERROR, "[fault] " + where, cause);
    }
}
