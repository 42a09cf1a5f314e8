package loomreel.decision;

/**
 * One dispatcher's leave to send work to one cold worker. It fills evenly at the dispatcher's part of the rate that all of
 * them may send together, and holds little, so that no bunch of jobs spends it at once. Work is slots times microseconds.
 *
 * <p><b>The bound</b> (the operators' page on days at full size): a cold worker falls when it gets more than
 * {@code N + 3 root(N) + 3} requests of mean work in the time that the settings name, {@code N} being what they allow it
 * then. Let all dispatchers together fill at a rate of {@code m <= N} requests in that time. A budget starts at a point
 * drawn evenly over a mean job, so each dispatcher's sends are a sequence with a period of its own, at an even phase; in a window it sends
 * {@code floor} or {@code ceil} of its part, which varies less than a Poisson count of that mean does. The dispatchers are independent, so
 * the sum over any number of them has a mean of {@code m} and a variance of {@code m (1 + cv^2)} at most, {@code cv} being the variation of
 * the jobs' sizes. Three deviations of {@code N} are the page's own slack; a share of {@code N} below 1 pays for uneven sizes:
 * 0.8 of {@code N} keeps the bound in 999 of 1,000 runs where sizes vary by 0.7 of their mean. Where they vary by all of it, 3 of
 * 1,000 runs pass it, so a dispatcher that cannot tell a worker's speed reckons with the slowest of its kind.
 */
final class ColdBudget {
    /** The part of the time to fall whose leave may be saved up, at the most. */
    private static final double SAVED = 1 / 4.0;

    private double left;
    private long at;

    /** The worker has started: what may be sent at once is {@code left}. */
    void start(double left, long now) {
        this.left = left;
        at = now;
    }

    /**
     * Whether a job may go now. One that is heavier than what is saved may go when the budget is full, and those after it pay;
     * a light one waits for as much as a mean one, else every dispatcher would send its light ones as the worker comes.
     *
     * @param rate how fast the leave fills now: work a microsecond
     * @param mean the work of a mean job of the dearest class
     * @param fallWithin the time in which a worker that is sent too much falls
     */
    boolean allows(double rate, double mean, long fallWithin, double cost, long now) {
        double most = Math.max(mean, rate * fallWithin * SAVED);
        left = Math.min(most, left + rate * (now - at));
        at = now;
        return left >= Math.min(most, Math.max(mean, cost));
    }

    /** A job was sent. */
    void take(double cost) {
        left -= cost;
    }
}
