package org.jujuberouter.cli;

/** Exit codes of the operator commands. */
final class ExitCodes {
    static final int SUCCESS = 0;
    static final int USAGE = 2;
    static final int CONFLICT = 3;
    static final int REFUSED = 4;
    static final int STORE_UNAVAILABLE = 5;
    static final int OUTCOME_UNKNOWN = 6;

    /** Heading of the list of exit codes in a command's help. */
    static final String HELP_HEADING = "%nExit codes:%n";

    private ExitCodes() {}
}
