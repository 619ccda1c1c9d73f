package org.jujuberouter.load;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jujuberouter.report.RequestRecord;

/**
 * Checks that a response is complete and belongs to its request.
 *
 * <p>The stand-in engines generate the words t0, t1, ... and repeat the marker of the prompt in the last event. A word
 * out of sequence reveals a lost, duplicated or reordered part of the response; a different marker reveals the response
 * to another request.
 */
final class ResponseChecker {
    static final String INCOMPLETE = "incomplete";
    static final String FOREIGN = "foreign";
    static final String ORDER = "order";

    private static final Pattern MARKER = Pattern.compile("marker-[A-Za-z0-9._-]+");

    private final String marker;
    private final int expectedTokens;
    private int tokens;
    private long nextNumber = -1;
    private long currentNumber = -1;
    private boolean inWord;
    private boolean foreignMarker;
    private boolean outOfOrder;
    private boolean endsWithOwnMarker;

    private ResponseChecker(String marker, int expectedTokens) {
        this.marker = marker;
        this.expectedTokens = expectedTokens;
    }

    static ResponseChecker of(String marker, int expectedTokens) {
        return new ResponseChecker(marker, expectedTokens);
    }

    /** Scans a raw event or body for markers. */
    void checkMarkers(String raw) {
        endsWithOwnMarker = false;
        Matcher matcher = MARKER.matcher(raw);
        while (matcher.find()) {
            boolean isOwn = matcher.group().equals(marker);
            endsWithOwnMarker |= isOwn;
            foreignMarker |= !isOwn;
        }
    }

    /** Processes the next fragment of the response text and returns the number of words that start in it. */
    int checkText(String fragment) {
        int tokensBefore = tokens;
        int markerIndex = fragment.indexOf("marker-");
        int end = markerIndex < 0 ? fragment.length() : markerIndex;
        for (int i = 0; i < end; i++) {
            char c = fragment.charAt(i);
            if (c == 't') {
                endWord();
                inWord = true;
                currentNumber = -1;
                tokens++;
            } else if (inWord && c >= '0' && c <= '9') {
                currentNumber = Math.max(0, currentNumber) * 10 + (c - '0');
            } else if (Character.isWhitespace(c)) {
                endWord();
            } else {
                outOfOrder = true;
            }
        }
        return tokens - tokensBefore;
    }

    int tokens() {
        return tokens;
    }

    /**
     * Returns the fault of the response, or {@link RequestRecord#NO_FAULT}.
     *
     * @param terminated whether the end of the response was signaled
     */
    String fault(boolean terminated) {
        endWord();
        if (foreignMarker) {
            return FOREIGN;
        }
        if (outOfOrder || tokens > expectedTokens) {
            return ORDER;
        }
        return terminated && endsWithOwnMarker && tokens == expectedTokens ? RequestRecord.NO_FAULT : INCOMPLETE;
    }

    private void endWord() {
        if (!inWord) {
            return;
        }
        inWord = false;
        // Numbering may start at 0 or 1; only gaps after the first word are faults.
        boolean isStart = nextNumber < 0 && (currentNumber == 0 || currentNumber == 1);
        outOfOrder |= !isStart && currentNumber != nextNumber;
        nextNumber = currentNumber + 1;
    }
}
