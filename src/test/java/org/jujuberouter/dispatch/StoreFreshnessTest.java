package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against withdrawn API keys that an instance without contact honours beyond the bound. */
class StoreFreshnessTest {
    private static final long BOUND_MS = 5_000;

    private final ManualTicker steady = ManualTicker.atZero();
    private final ManualTicker timeOfDay = ManualTicker.atZero();
    private final StoreFreshness contact = StoreFreshness.of(steady, timeOfDay, BOUND_MS);

    private void pass(long millis) {
        steady.advance(Duration.ofMillis(millis));
        timeOfDay.advance(Duration.ofMillis(millis));
    }

    @Test
    void isNotCurrentBeforeTheFirstContact() {
        assertFalse(contact.isCurrent());
    }

    @Test
    void endsBeforeTheBoundOnWithdrawnKeys() {
        contact.confirmAt(steady.nanos());
        pass(3_000);
        assertTrue(contact.isCurrent());
        pass(1_000);
        assertFalse(contact.isCurrent());
    }

    @Test
    void countsFromTheMomentTheStoreWasAsked() {
        long asked = steady.nanos();
        pass(3_500);
        contact.confirmAt(asked);
        assertTrue(contact.isCurrent());
        pass(500);
        assertFalse(contact.isCurrent());
    }

    @Test
    void isLostWhenTheMachineWasSuspended() {
        contact.confirmAt(steady.nanos());
        timeOfDay.advance(Duration.ofSeconds(6));
        assertFalse(contact.isCurrent());
        assertFalse(contact.isCurrent());
        contact.confirmAt(steady.nanos());
        assertTrue(contact.isCurrent());
    }

    @Test
    void doesNotTakeAnAnswerToAQuestionFromBeforeASuspension() {
        long asked = steady.nanos();
        timeOfDay.advance(Duration.ofSeconds(6));
        contact.confirmAt(asked);
        assertFalse(contact.isCurrent());
    }
}
