package org.jujuberouter.cli;

/** The exit codes of the operators' commands. */
final class ExitCodes {
    static final int DONE = 0;
    static final int USAGE = 2;
    static final int CONFLICT = 3;
    static final int REFUSED = 4;
    static final int STORE_UNAVAILABLE = 5;
    static final int OUTCOME_UNKNOWN = 6;

    /** The part of each command's help that lists the codes. */
    static final String HELP_HEADING = "%nExit codes:%n";

    private ExitCodes() {}
}
