package loomreel.faktory;

import java.util.HashMap;
import java.util.Map;

/**
 * Whose job is tried next, and whether one may be now: queues share by weight (smooth weighted round robin), and all of
 * them together keep to a window, so that a backlog neither crowds out HTTP clients nor asks a full fleet in a busy loop.
 * The window grows by one for as many served jobs as it holds and shrinks when the module refuses, as TCP's does. It is
 * told times (microseconds) and reads none.
 */
final class Admission {
    private static final double SHRINK = 0.7;
    private static final int FIRST_WINDOW = 16;
    private static final long FIRST_PAUSE = 50_000;
    private static final long LONGEST_PAUSE = 2_000_000;

    private static final class Queue {
        private final int weight;
        private long turn;
        private long pause;
        private long pausedUntil;

        Queue(int weight) {
            this.weight = weight;
        }
    }

    private final Map<String, Integer> weights;
    private final int otherWeight;
    private final Map<String, Queue> queues = new HashMap<>();
    private int most = 1;
    private double window = FIRST_WINDOW;
    private long shrunkAt = Long.MIN_VALUE;
    private int open;

    /**
     * Nothing is open.
     *
     * @param otherWeight of a queue that has no weight of its own
     */
    Admission(Map<String, Integer> weights, int otherWeight) {
        this.weights = Map.copyOf(weights);
        this.otherWeight = otherWeight;
    }

    /** So many tries may be open at the most. */
    void room(int tries) {
        most = Math.max(1, tries);
    }

    private Queue queue(String name) {
        return queues.computeIfAbsent(name, n -> new Queue(weights.getOrDefault(n, otherWeight)));
    }

    /** The queue whose turn it is among those that hold jobs, or null where none may start one now. */
    String next(Iterable<String> ready, long now) {
        if (open >= Math.min(most, (int) window)) {
            return null;
        }
        String first = null;
        long total = 0;
        for (String name : ready) {
            Queue q = queue(name);
            if (q.pausedUntil <= now) {
                q.turn += q.weight;
                total += q.weight;
                if (first == null || q.turn > queues.get(first).turn) {
                    first = name;
                }
            }
        }
        if (first != null) {
            queues.get(first).turn -= total;
        }
        return first;
    }

    /** When a queue that is paused may be asked again; {@link Long#MAX_VALUE} where none is. */
    long resumesAt(Iterable<String> ready, long now) {
        long first = Long.MAX_VALUE;
        for (String name : ready) {
            long until = queue(name).pausedUntil;
            first = until > now ? Math.min(first, until) : first;
        }
        return first;
    }

    /** A try has started. */
    void opened() {
        open++;
    }

    /** A try was served. */
    void served(String queue) {
        open--;
        queue(queue).pause = 0;
        window = Math.min(most, window + 1 / window);
    }

    /** A try failed: it says nothing of how much more there is room for. */
    void failed(String queue) {
        open--;
    }

    /**
     * A try was refused.
     *
     * @param holdOff how long the module wants clients to stay away, in microseconds
     */
    void refused(String queue, long holdOff, long now) {
        open--;
        Queue q = queue(queue);
        if (q.pausedUntil <= now) {
            q.pause = Math.min(LONGEST_PAUSE, Math.max(FIRST_PAUSE, 2 * q.pause));
        }
        q.pausedUntil = Math.max(q.pausedUntil, now + Math.max(q.pause, Math.min(holdOff, LONGEST_PAUSE)));
        // Jobs that were tried together are refused together: that is one piece of news.
        if (now - shrunkAt >= FIRST_PAUSE || shrunkAt == Long.MIN_VALUE) {
            window = Math.max(1, window * SHRINK);
            shrunkAt = now;
        }
    }

    int open() {
        return open;
    }

    double window() {
        return window;
    }
}
