package org.jujuberouter.demo;

/**
 * Result of one step of the demo.
 *
 * @param step description of the step
 * @param sent number of requests sent
 * @param asExpected number of requests with the expected result
 * @param maxMillis longest response time in milliseconds
 * @param note status and outcome of a request, preferably of one without the expected result
 */
record DemoStepResult(String step, int sent, int asExpected, long maxMillis, String note) {
    boolean passed() {
        return sent == asExpected;
    }

    @Override
    public String toString() {
        return "%-48s %6d %9d %9d  %s".formatted(step, sent, asExpected, maxMillis, note);
    }
}
