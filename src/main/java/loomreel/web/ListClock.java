package loomreel.web;

import loomreel.decision.Model.Outcome;
import loomreel.decision.Model.Rules;

/**
 * How long a call to discovery may wait and when its silence is taken for a break, so that news is known before a send
 * could break the rule on drains. Pure; all times in microseconds. From the operators' page on the server list:
 *
 * <ul>
 * <li>A call that falls silent is broken. What it misses counts as told {@link #SILENCE} after the silence began, or
 * {@link #AFTER_WAIT} after the call's wait is over, if that is later, whether or not it arrived.
 * <li>Where lists are pushed, what the agent has counts as told at once, watched or not, and after an outage too.
 * <li>From then on a send to what drains is allowed for {@link Rules#stopSendingWithin()} more.
 * </ul>
 *
 * @param hold how long a call may wait for news
 * @param patience how long after that wait its answer is waited for; then it is silent
 * @param pace the least time from one call to the next where the first went unheard, or failed at an agent
 */
record ListClock(boolean pushed, long hold, long patience, long pace) {
    private static final long SILENCE = 6_000_000;
    private static final long AFTER_WAIT = 2_000_000;
    /** No less than this, however short the grace: the rules allow each limit this much more. */
    private static final long LEAST = 50_000;
    /** An answer that is this late after the wait is not slow any more. */
    private static final long MOST_PATIENCE = 1_500_000;
    /** Nobody is kept busy by calls that are not heard, and what was missed must be known in a few seconds. */
    private static final long UNHEARD_PACE = 1_000_000;
    /** {@link #again}: the module decides when to ask. */
    static final long NOT_HERE = -1;

    /**
     * The times that hold for a deployment.
     *
     * <p>Asked: with a wait of {@code SILENCE - AFTER_WAIT} both clocks of the page run out together, {@code SILENCE}
     * after the call began at the earliest. What is left from the end of the wait until a send could break the rule,
     * {@code AFTER_WAIT} and the grace, is shared evenly by this call's patience and the one that takes its place.
     *
     * <p>Pushed: what is held must be younger than the grace. Two fifths of it are the wait, a fifth the patience, and
     * two fifths are left for a new connection and its first answer.
     */
    static ListClock of(Rules rules, boolean asked) {
        long grace = rules.stopSendingWithin();
        if (asked) {
            return new ListClock(false, SILENCE - AFTER_WAIT, Math.min(MOST_PATIENCE, (AFTER_WAIT + grace) / 2),
                    UNHEARD_PACE);
        }
        long fifth = Math.max(LEAST, grace / 5);
        return new ListClock(true, Math.min(SILENCE - AFTER_WAIT, 2 * fifth), Math.min(MOST_PATIENCE, fifth), fifth);
    }

    /** When a call that starts now is given up; {@code waits} where it may wait for news. */
    long deadline(long now, boolean waits) {
        return now + (waits ? hold : 0) + patience;
    }

    /** Whether nobody was there to hear a call: it fell silent, or after a silence no connection comes up either. */
    static boolean unheard(Outcome outcome, boolean silentBefore) {
        return outcome == Outcome.TIMEOUT || silentBefore && outcome == Outcome.CONNECT_FAILED;
    }

    /**
     * When a call that failed is made anew. Where lists are asked for, a refusal, a reset or nonsense says that discovery is busy or
     * down, and how to spare it is for the module to decide. Silence says nothing of that, and the clock runs: at once on
     * the first, then at a pace.
     *
     * @param silentBefore whether the call before this one went unheard, too
     * @param calledAt when this one began
     * @return the time, or {@link #NOT_HERE}
     */
    long again(Outcome outcome, boolean silentBefore, long calledAt, long now) {
        if (!pushed && !unheard(outcome, silentBefore)) {
            return NOT_HERE;
        }
        return !pushed && !silentBefore ? now : Math.max(now, calledAt + pace);
    }
}
