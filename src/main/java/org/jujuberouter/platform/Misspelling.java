package org.jujuberouter.platform;

import java.util.Locale;

/** Recognizes misspelled names of fields. */
final class Misspelling {
    /** Shorter names are too often one letter away from an unrelated one. */
    private static final int MIN_LENGTH = 4;

    private Misspelling() {}

    /**
     * Returns whether the names differ only in case and underscores, or in one letter that is added, left out, replaced
     * or exchanged with its neighbour.
     */
    static boolean isLikely(String name, String intended) {
        String a = normalized(name);
        String b = normalized(intended);
        if (a.equals(b)) {
            return true;
        }
        if (Math.min(a.length(), b.length()) < MIN_LENGTH || Math.abs(a.length() - b.length()) > 1) {
            return false;
        }
        int start = 0;
        while (start < Math.min(a.length(), b.length()) && a.charAt(start) == b.charAt(start)) {
            start++;
        }
        String restA = a.substring(start);
        String restB = b.substring(start);
        if (a.length() != b.length()) {
            return a.length() > b.length()
                    ? restA.substring(1).equals(restB)
                    : restB.substring(1).equals(restA);
        }
        if (restA.substring(1).equals(restB.substring(1))) {
            return true;
        }
        return restA.charAt(0) == restB.charAt(1)
                && restA.charAt(1) == restB.charAt(0)
                && restA.substring(2).equals(restB.substring(2));
    }

    private static String normalized(String name) {
        return name.toLowerCase(Locale.ROOT).replace("_", "");
    }
}
