package org.jujuberouter.configcheck;

/** Paths in the version in force, for entries that the checked document no longer has. */
final class InForcePath {
    private InForcePath() {}

    static String of(String path) {
        return "in-force:" + path;
    }
}
