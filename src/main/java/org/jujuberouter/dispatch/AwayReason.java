package org.jujuberouter.dispatch;

/** Why a call is sent to another failure domain than that of its instance. */
public enum AwayReason {
    /** The call stays in its domain, or domains are ignored. */
    NONE("none"),
    /** No endpoint of the domain has room for the call. */
    HOME_FULL("home full"),
    /** The endpoints of the domain have room, but calls would lose more there or they are more crowded. */
    HOME_LATE("home late"),
    /** The endpoints of the domain cannot be reached. */
    HOME_CUT_OFF("home cut off"),
    /** No endpoint of the domain is usable. */
    NO_ENGINE_AT_HOME("no engine at home");

    private final String text;

    AwayReason(String text) {
        this.text = text;
    }

    /** Returns the reason as it is written to logs and metrics. */
    public String text() {
        return text;
    }
}
