package org.jujuberouter.demo;

/**
 * The result of one step of the demo.
 *
 * @param step what was done
 * @param sent how many requests were sent
 * @param asPromised how many got what was promised
 * @param worstMillis the longest wait for a whole answer, in milliseconds
 * @param note what was seen, in a few words
 */
record DemoRow(String step, int sent, int asPromised, long worstMillis, String note) {
    boolean holds() {
        return sent == asPromised;
    }

    @Override
    public String toString() {
        return "%-48s %6d %9d %9d  %s".formatted(step, sent, asPromised, worstMillis, note);
    }
}
