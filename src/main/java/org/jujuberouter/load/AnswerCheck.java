package org.jujuberouter.load;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jujuberouter.report.RequestRecord;

/**
 * Checks that an answer is whole and belongs to its own request.
 *
 * <p>The stand-in engines answer with the words t0, t1, ... and repeat the marker of the prompt in the last event. A word
 * out of turn shows a lost, repeated or reordered piece; another marker shows an answer to another request.
 */
final class AnswerCheck {
    static final String INCOMPLETE = "incomplete";
    static final String FOREIGN = "foreign";
    static final String ORDER = "order";

    private static final Pattern MARKER = Pattern.compile("marker-[A-Za-z0-9._-]+");

    private final String marker;
    private final int expected;
    private int tokens;
    private long next = -1;
    private long word = -1;
    private boolean inWord;
    private boolean foreign;
    private boolean order;
    private boolean ownMarkerLast;

    private AnswerCheck(String marker, int expected) {
        this.marker = marker;
        this.expected = expected;
    }

    static AnswerCheck of(String marker, int expected) {
        return new AnswerCheck(marker, expected);
    }

    /** Takes the raw form of an event or body, to look for markers. */
    void event(String raw) {
        ownMarkerLast = false;
        Matcher matcher = MARKER.matcher(raw);
        while (matcher.find()) {
            boolean own = matcher.group().equals(marker);
            ownMarkerLast |= own;
            foreign |= !own;
        }
    }

    /** Takes the next piece of the answer's text and returns how many words it started. */
    int text(String piece) {
        int before = tokens;
        int markerAt = piece.indexOf("marker-");
        int end = markerAt < 0 ? piece.length() : markerAt;
        for (int i = 0; i < end; i++) {
            char c = piece.charAt(i);
            if (c == 't') {
                endWord();
                inWord = true;
                word = -1;
                tokens++;
            } else if (inWord && c >= '0' && c <= '9') {
                word = Math.max(0, word) * 10 + (c - '0');
            } else if (Character.isWhitespace(c)) {
                endWord();
            } else {
                order = true;
            }
        }
        return tokens - before;
    }

    int tokens() {
        return tokens;
    }

    /** Returns what is wrong with the answer, given whether its end was marked. */
    String fault(boolean ended) {
        endWord();
        if (foreign) {
            return FOREIGN;
        }
        if (order || tokens > expected) {
            return ORDER;
        }
        return ended && ownMarkerLast && tokens == expected ? RequestRecord.NO_FAULT : INCOMPLETE;
    }

    private void endWord() {
        if (!inWord) {
            return;
        }
        inWord = false;
        // The first word may be t0 or t1; what counts is that none is missing after it.
        boolean first = next < 0 && (word == 0 || word == 1);
        order |= !first && word != next;
        next = word + 1;
    }
}
