package org.jujuberouter.gateway;

import java.util.Map;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.telemetry.AsyncLogHandler;

/** Log of an instance: one line for each decision on a call and for each change of the instance's state. */
final class GatewayLog {
    private static final System.Logger STATE = System.getLogger("org.jujuberouter.gateway");
    private static final System.Logger REQUESTS = System.getLogger(AsyncLogHandler.REQUEST_LOGGER);

    private GatewayLog() {}

    static GatewayLog create() {
        return new GatewayLog();
    }

    /** Logs a step in the regular processing of a call. */
    void call(String what, RequestHead call, Map.Entry<?, ?>... fields) {
        log(System.Logger.Level.INFO, what, call, fields);
    }

    /** Logs a failure or refusal of a call; these lines have a rate limit of their own. */
    void callFailed(String what, RequestHead call, Map.Entry<?, ?>... fields) {
        log(System.Logger.Level.WARNING, what, call, fields);
    }

    private static void log(System.Logger.Level level, String what, RequestHead call, Map.Entry<?, ?>... fields) {
        Object[] all = new Object[fields.length + 1];
        all[0] = Map.entry("request", call.id());
        System.arraycopy(fields, 0, all, 1, fields.length);
        REQUESTS.log(level, "[call] " + what, all);
    }

    /** Logs a request that was rejected before it became a call. */
    void rejected(int status, String reason) {
        REQUESTS.log(
                System.Logger.Level.WARNING,
                "[caller] rejected a request",
                Map.entry("status", status),
                Map.entry("reason", reason));
    }

    /** Logs a change of the instance's view of the store, its endpoints or its peers. */
    void stateChanged(String what, Map.Entry<?, ?>... fields) {
        STATE.log(System.Logger.Level.INFO, "[state] " + what, (Object[]) fields);
    }

    /** Logs an internal error. */
    void fault(String where, Throwable cause) {
        STATE.log(System.Logger.Level.ERROR, "[fault] " + where, cause);
    }
}
