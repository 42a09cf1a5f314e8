package loomreel.web;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loomreel.decision.Model.Outcome;
import loomreel.decision.Model.Rules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whenever a call falls silent, what it missed is known before a send could break the rule on drains. */
class ListClockTest {
    private static final long SECOND = 1_000_000;

    private static ListClock clock(double grace, boolean asked) {
        return ListClock.of(new Rules((long) (grace * SECOND), 10 * SECOND, 0.1, 20 * SECOND, 3, 2 * SECOND), asked);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.2, 0.5, 1, 3, 10})
    void whatASilentCallMissedIsKnownInTime(double grace) {
        ListClock c = clock(grace, true);
        // Silent from the start: 6 s after it, or 2 s after its wait, all counts as told.
        double breaks = Math.max(6, c.hold() / 1e6 + 2) + grace;
        double givenUp = c.deadline(0, true) / 1e6;
        double nextGivenUp = givenUp + c.patience() / 1e6;
        assertTrue(nextGivenUp <= breaks, "the one in its place has answered by " + nextGivenUp + ", of " + breaks);
        assertTrue(c.patience() > 0.9 * SECOND, "a call that waits its turn is not silent");
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.5, 1, 3, 10})
    void whatAnAgentHasIsNeverOlderHereThanTheGrace(double grace) {
        ListClock c = clock(grace, false);
        assertTrue(c.deadline(0, true) + c.patience() <= 0.8 * grace * SECOND, c + " for a grace of " + grace);
        assertTrue(c.pace() > 0 && c.pace() <= c.patience() + SECOND, "failing calls are neither many nor rare");
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, 0.1})
    void aGraceTooShortToKeepIsNoReasonToAskWithoutEnd(double grace) {
        ListClock c = clock(grace, false);
        assertEquals(50_000, c.pace());
        assertTrue(c.hold() >= 50_000 && c.patience() >= 50_000, c.toString());
    }

    /** A cut may last longer than a watch: from the first silence on, a call goes out every second or so until one is heard. */
    @Test
    void silenceIsAnsweredAtOnceAndThenAtAPaceWhateverComesOfIt() {
        ListClock c = clock(3, true);
        assertEquals(5_500_000, c.again(Outcome.TIMEOUT, false, 0, 5_500_000), "opened anew at once");
        assertEquals(6_500_000, c.again(Outcome.CONNECT_FAILED, true, 5_500_000, 5_750_000), "no connection comes up either");
        assertEquals(7_000_000, c.again(Outcome.TIMEOUT, true, 5_500_000, 7_000_000));
        for (Outcome busy : new Outcome[] {Outcome.RESET, Outcome.ERROR}) {
            assertEquals(ListClock.NOT_HERE, c.again(busy, true, 0, SECOND), "who answers so is to be spared");
            assertFalse(ListClock.unheard(busy, true));
        }
        assertEquals(ListClock.NOT_HERE, c.again(Outcome.CONNECT_FAILED, false, 0, SECOND), "nobody listens: it is down");
        assertTrue(ListClock.unheard(Outcome.CONNECT_FAILED, true));
    }

    @Test
    void anAgentIsAskedAgainWhateverItDid() {
        ListClock c = clock(0.5, false);
        for (Outcome outcome : new Outcome[] {Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED}) {
            for (boolean silent : new boolean[] {false, true}) {
                assertEquals(100_000, c.again(outcome, silent, 0, 1000), outcome + " is paced");
                assertEquals(300_000, c.again(outcome, silent, 0, 300_000), outcome + " after a while is asked at once");
            }
        }
    }
}
