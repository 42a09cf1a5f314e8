package loomreel.decision;

import loomreel.decision.Book.*;
import loomreel.decision.Model.*;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;

/**
 * Every decision of one node. The interface is in Model.java, what a node remembers in Book.java.
 *
 * <p>The ordinary path is Algorithm 1 of "Package-Aware Scheduling of FaaS Functions": two workers
 * hashed from the job's key, the less loaded while under a threshold, else a fallback. For one thread only.
 */
public final class Brain {
    /** The threshold t as a share of a worker's slots: a job can start at once (the paper's t = st). */
    private static final double THRESHOLD = 1;
    /** A tenant beyond its share gets only workers this empty; its traffic is worth little. */
    private static final double OVER_SHARE_THRESHOLD = 0.5;
    /**
     * A tenant's bucket fills by a node's even part of its share, times this: zones differ. A node that sees
     * more of all traffic than zones explain, so many even parts, goes by its own part.
     */
    private static final double UNEVEN = 1.3;
    private static final double HOT = 1.6;
    /** Among so few nodes one may be the only one of a zone, and traffic moves as they come and go. */
    private static final int FEW = 10;
    /** How many places of the ranking the fallback looks at, and how many where a look costs a probe. */
    private static final int SAMPLE = 8;
    private static final int PROBES = 3;
    /** A held job looks further only under this mean load: where all is full, affinity counts. */
    private static final double ROOM = 0.9;
    /** The share of a worker that one key may fill before the key is spread over more workers. */
    private static final double HOT_SHARE = 0.25;
    /** How much of a key's ranking is kept, and of how many keys; the least recently used are forgotten. */
    private static final int RANKS = 64;
    private static final int KEYS = 4096;
    /** Memory of rates and means: long against one job, short against a day. */
    private static final double MEMORY = 10e6;
    /** A report shows a worker as it was about this long ago: what this node did since is not in it. */
    private static final double REPORT_LAG = 1e6;
    /** What is known of one worker fades this fast into what is known of all. */
    private static final double FADE = 0.8e6;
    /** A report younger than this is not worth a probe. */
    private static final long FRESH = 400_000;
    /** The fallback is only looked at for room, not for the least load: there a report does for longer. */
    private static final long STILL_FRESH = 4 * FRESH;
    /** The size of job, as a share of the mean, that must still make it in time when an attempt starts. */
    private static final double TYPICAL = 0.4;
    /** Machines differ; one that takes this much longer than all of them is loaded more, by what is above. */
    private static final double SLOW = 1.25;
    /** The share of the tipping load that goes to a cold worker: by what warm ones get, by its own slots. */
    private static final double COLD_MARGIN = 0.33;
    private static final double COLD_SURE = 0.8;
    /** The work that a slot of the slowest machine does in its time, where the jobs in slots share cores. */
    private static final double LEAST_SPEED = 0.45;
    /** No more than this share of the workers is avoided at a time, or the rest would drown. */
    private static final double AVOID_MOST = 1 / 3.0;
    /** Tokens of the two timers that are not a request's. */
    private static final long ASK = 0;
    private static final long POLL = 1;
    private static final long SECOND_HASH = 0x5DEECE66DL;

    private Settings settings;
    private SplittableRandom random;
    private long now;
    private List<Action> actions;
    private Book book;
    /** This process's part of what the node may send to cold workers. */
    private double part = 1;

    /** A node that has not started. */
    public Brain() { }

    /**
     * Takes in one event and adds what the node does about it to the actions, in order.
     *
     * @param event what happened
     * @param now the clock in microseconds
     * @param actions where actions are added
     * @throws NullPointerException if the event or the list is null
     * @throws IllegalArgumentException if time runs backwards
     * @throws IllegalStateException if the first event is not a start, or a start comes without a stop
     */
    public void on(Event event, long now, List<Action> actions) {
        Objects.requireNonNull(event, "event");
        this.actions = Objects.requireNonNull(actions, "actions");
        if (event instanceof Start != (settings == null)) {
            throw new IllegalStateException(settings == null ? "an event before the start"
                    : "a second start without a stop");
        }
        if (settings != null && now < this.now) {
            throw new IllegalArgumentException("time runs backwards");
        }
        this.now = now;
        if (event instanceof Start start) {
            start(start);
        } else if (event instanceof Arrival arrival) {
            arrive(arrival);
        } else if (event instanceof Running running) {
            running(running);
        } else if (event instanceof Ended ended) {
            ended(ended);
        } else if (event instanceof Probed probed) {
            probed(probed);
        } else if (event instanceof TimerDue timer) {
            timer(timer.token());
        } else if (event instanceof Withdrawn withdrawn && book.requests.containsKey(withdrawn.request())) {
            end(book.requests.get(withdrawn.request()), null);
        } else if (event instanceof WholeList list) {
            for (Worker w : book.workers.values()) {
                w.entry = w.entry.in(State.GONE);
            }
            list(list.entries());
        } else if (event instanceof ListChanges list) {
            list(list.entries());
        } else if (event instanceof Down down) {
            book.down.putIfAbsent(down.worker(), now);
            book.rebuild();
        } else if (event instanceof Up up && book.down.containsKey(up.worker())) {
            up(book.workers.get(up.worker()), book.down.remove(up.worker()));
        } else if (event instanceof Part mine) {
            part = mine.part();
        } else if (event instanceof ListLost) {
            askAt(book.ask.again(now, random));
        } else if (event instanceof Stop) {
            settings = null;
        }
    }

    /** How many of the listed workers are left alone now. */
    public int avoided(long now) {
        return (int) book.workers.values().stream()
                .filter(w -> now < w.avoidUntil || book.down.containsKey(w.id)).count();
    }

    private void start(Start start) {
        settings = start.settings();
        random = new SplittableRandom(start.seed());
        book = new Book(settings, now, MEMORY);
        book.lastToken = POLL;
        book.meanLoad = settings.reporting() == Reporting.NONE ? 0 : 0.5;
        book.meanWait = book.shortestTarget / 16.0;
        book.waitSpread = book.meanWait;
        book.rebuild();
        askAt(book.ask.first(now, random));
    }

    private void askAt(long time) {
        if (settings.mustAsk()) {
            actions.add(new Timer(time, ASK));
        }
    }

    /** From here on nothing new goes to a worker that drains or is gone; one that restarted is new. */
    private void list(List<Entry> entries) {
        for (Entry entry : entries) {
            Worker w = book.workers.computeIfAbsent(entry.id(), id -> new Worker(id, REPORT_LAG));
            if (w.entry == null || entry.startedAt() > w.entry.startedAt()) {
                // Nodes hear of it together: not all may send their first job at once, nor all wait as long.
                w.restarted(now, random.nextDouble() * book.lightCost());
                w.upAt = 0;
            }
            w.entry = entry;
        }
        book.ask.answered();
        book.workers.values().removeIf(w -> w.entry.state() == State.GONE);
        book.rebuild();
        entries.forEach(this::released);
    }

    /**
     * Operators restart what they take out, so it is cold: from now on, unless the list has told of a start
     * in the time that it was down. One job of any class may go there at once.
     */
    private void up(Worker w, long downAt) {
        if (w != null) {
            w.restarted(now, book.largestWork());
            w.upAt = w.entry.startedAt() > downAt ? 0 : now;
        }
        book.rebuild();
    }

    private void arrive(Arrival arrival) {
        RequestClass type = settings.classes().get(arrival.requestClass());
        Request r = new Request(arrival, type, ++book.lastToken);
        book.add(r);
        double run = book.meanRun[arrival.requestClass()];
        double size = Double.isNaN(arrival.work()) ? TYPICAL * run : arrival.work();
        long slack = type.target() + (long) (size * Math.max(0, type.stretch() - 1));
        r.inTimeUntil = Math.min(arrival.due(), book.firstAsked.at(arrival, type, now) + slack);
        r.giveUpAt = type.lateWorth() > 0 ? arrival.due() : r.inTimeUntil;
        r.lastMoment = arrival.due() - 2 * settings.tick();
        if (now >= r.giveUpAt) {
            giveUp(r, Why.CAME_TOO_LATE);
            return;
        }
        wake(r, r.lastMoment);
        if (arrival.tenant() >= 0) {
            double allowed = settings.tenants().get(arrival.tenant()).allowancePerSecond();
            double mine = settings.nodes() > FEW ? book.part(settings.nodes(), now) * settings.nodes() : 1;
            double rate = allowed / settings.nodes() * UNEVEN * (mine > HOT ? mine : 1);
            boolean within = book.tenants[arrival.tenant()].take(rate / 1e6, 2 * rate + 3, now);
            r.threshold = within ? THRESHOLD : OVER_SHARE_THRESHOLD;
        }
        if (arrival.key() != null) {
            key(r).demand.add(arrival.slots() * run / MEMORY, now);
        }
        anew(r);
    }

    /** Looks for a place with a sample of its own: the same workers are asked and then chosen from. */
    private void anew(Request r) {
        r.width = r.arrival.key() == null || pool(r).length == 0 ? Integer.MAX_VALUE : width(key(r));
        r.probeRound = r.width > 2 ? 1 : 0;
        r.draw = random.nextLong();
        place(r);
    }

    private void wake(Request r, long at) {
        actions.add(new Timer(Math.max(now, at), r.token));
    }

    private void place(Request r) {
        if (r.ended || r.probesOut > 0) {
            return;
        }
        if (!maySend(r)) {
            // While it waited the time was over in which its repeats are told.
            giveUpUnlessOpen(r);
            return;
        }
        if (now >= r.giveUpAt) {
            giveUp(r, !r.attempts.isEmpty() ? Why.NOT_STARTED_IN_TIME
                    : pool(r).length > 0 ? Why.NO_ROOM_IN_TIME : Why.NO_WORKER);
            return;
        }
        if (settings.limits().probing() && settings.reporting() != Reporting.NONE && askCandidates(r)) {
            return;
        }
        Worker worker = choose(r, 1);
        if (worker != null) {
            send(r, worker);
        } else if (r.threshold < THRESHOLD) {
            giveUp(r, Why.OVER_SHARE);
        } else {
            // Two steps: with one, quick scores fell by 0.01 to 0.02 on three days of four.
            r.holds += 2;
            book.held.add(r);
            poll();
        }
    }

    private void poll() {
        if (!book.polling && !book.held.isEmpty()) {
            book.polling = true;
            long pause = Math.max(2 * settings.tick(), book.shortestTarget / 16);
            actions.add(new Timer(now + pause / 2 + random.nextLong(pause), POLL));
        }
    }

    /** Tries held jobs again: the most worth for its work first, then the newest. */
    private void release() {
        List<Request> waiting = book.held;
        book.held = new ArrayList<>();
        waiting.sort(Comparator.comparingDouble(this::value).thenComparingLong(r -> r.token).reversed());
        int tries = 0;
        for (Request r : waiting) {
            if (tries++ < 32 || now >= r.giveUpAt) {
                anew(r);
            } else if (!r.ended) {
                book.held.add(r);
            }
        }
    }

    private double value(Request r) {
        return r.type.worth() / book.work(r) * (now < r.inTimeUntil ? 1 : r.type.lateWorth());
    }

    /** Probes the candidates whose load is not known; true if the request waits for the answers. */
    private boolean askCandidates(Request r) {
        for (; r.probeRound < 2; r.probeRound++) {
            if (choose(r, r.probeRound - 1) != null) {
                return false;
            }
            boolean fallback = r.probeRound > 0 && r.width <= 2;
            long fresh = fallback ? STILL_FRESH : FRESH;
            for (Worker w : candidates(r, r.probeRound)) {
                // Where the job would not be sent whatever the answer, asking is work for nothing. A cold
                // one's room is its leave.
                if (now - w.reportAt < fresh || fallback && book.warmth(w, now) < 1
                        || !maySendTo(r, w) || now < w.avoidUntil || !coldAllows(r, w)) {
                    continue;
                }
                if (w.probedAt < 0 && r.probesSent++ < 4 * PROBES) {
                    w.probedAt = now;
                    actions.add(new Probe(w.id));
                }
                if (w.probedAt >= 0 && now - w.probedAt <= probeWait(r) && !w.probeWaiters.contains(r)) {
                    w.probeWaiters.add(r);
                    r.probesOut++;
                }
            }
            if (r.probesOut > 0) {
                r.probeRound++;
                wake(r, now + probeWait(r) + settings.tick());
                return true;
            }
        }
        return false;
    }

    private long probeWait(Request r) {
        return (long) Math.min(r.type.target() / 8.0, Math.max(4 * settings.tick(), 4 * book.probeTime));
    }

    /** Algorithm 1, lines 2 to 10, then the fallback in place of line 11. */
    private Worker choose(Request r, int last) {
        double t = r.threshold * Math.max(THRESHOLD, Math.min(1.5, 1.1 * book.meanLoad));
        for (int round = r.width > 2 ? 1 : 0; round <= last; round++) {
            Worker best = null;
            double least = Double.POSITIVE_INFINITY;
            for (Worker w : candidates(r, round)) {
                double load = load(r, w);
                if (load + (Math.min(r.arrival.slots(), book.slots(w)) - 1) / book.slots(w) < t) {
                    if (round == 1 && r.arrival.key() != null) {
                        return w;
                    }
                    load = r.arrival.key() == null ? load - t : -1;
                }
                if (load < least) {
                    least = load;
                    best = w;
                }
            }
            if (least < 0) {
                return best;
            }
        }
        return null;
    }

    /** Round 0: the two hashed candidates. Round 1: the next places of the key's ranking, the fallback's. */
    private List<Worker> candidates(Request r, int round) {
        List<Worker> list = new ArrayList<>(SAMPLE);
        Worker[] pool = pool(r);
        Key key = r.arrival.key() == null || pool.length == 0 ? null : key(r);
        if (key != null && round == 0) {
            list.add(key.ranking[0]);
            if (key.second != key.ranking[0]) {
                list.add(key.second);
            }
            return list;
        }
        int sample = Math.min(pool.length, settings.limits().probing() ? PROBES : SAMPLE);
        if (key == null || r.width > key.ranking.length) {
            for (int i = 0; i < sample; i++) {
                list.add(pool[(int) Long.remainderUnsigned(Book.mix(r.draw + i), pool.length)]);
            }
            return list;
        }
        boolean further = r.holds > 0 && book.meanLoad < ROOM;
        int from = r.width > 2 ? (int) Long.remainderUnsigned(r.draw, r.width) : 1;
        from += further ? r.holds * sample : 0;
        int span = Math.min(key.ranking.length, further ? RANKS : Math.max(r.width, sample + 1));
        for (int i = 0; i < sample; i++) {
            list.add(key.ranking[(from + i) % span]);
        }
        return list;
    }

    /**
     * How many workers a key needs, by this node's traffic times the number of nodes: a hot key fills both of
     * its candidates while each node's own count stays under t. What may be chance is left out.
     */
    private int width(Key key) {
        double seen = key.demand.at(now);
        seen = Math.max(0, seen - 1.5 * Math.sqrt(seen * book.meanRun[0] / MEMORY));
        return (int) Math.ceil(seen / seenShare() * settings.nodes() / (book.slots(null) * HOT_SHARE));
    }

    /** The share of a memory's length that this node has lived through: a sum over it holds no more yet. */
    private double seenShare() {
        return 1 - Math.exp((book.startedAt - now - 1) / MEMORY);
    }

    /** A worker's load as a share of its slots; infinite where this request must not or should not go. */
    private double load(Request r, Worker w) {
        if (!maySendTo(r, w) || now < w.avoidUntil || !coldAllows(r, w)
                || w.probedAt >= 0 && now - w.probedAt > probeWait(r)) {
            return Double.POSITIVE_INFINITY;
        }
        double own = 0;
        for (Attempt a : w.open) {
            if (settings.tellsStart() && a.startedAt < 0 && now - a.sentAt > book.patience()) {
                return Double.POSITIVE_INFINITY;
            }
            own += a.request.arrival.slots();
        }
        double slow = Math.max(0, book.slowness(w, now) - SLOW);
        double age = now - w.reportAt;
        double usual = book.meanLoad + (w.meanLoad - book.meanLoad) * Math.exp(-age / FADE);
        if (settings.reporting() == Reporting.NONE) {
            return usual + own / book.slots(w) + slow;
        }
        double trust = Math.exp(-(age + REPORT_LAG) / (2 * book.meanRunOfAll()));
        return trust * w.load + (1 - trust) * usual + w.ownSince.at(now) / book.slots(w) + slow;
    }

    /**
     * Guards the fourth rule: what all nodes together send a cold worker in any time in which it could fall
     * over stays under the tipping load, by the bound that stands at ColdBudget.
     */
    private boolean coldAllows(Request r, Worker w) {
        double warmth = book.warmth(w, now);
        if (warmth >= 1) {
            return true;
        }
        // Either is safe by itself: what a warm worker gets on average, and what its own slots do at least.
        // The first alone fails a fleet that is mostly cold, and a node that has sent little so far.
        long warm = book.warm(now);
        // A node that has lived for less than a worker takes to fall over has seen too little to go by it.
        double lived = Math.max(MEMORY * seenShare(), settings.rules().fallWithin());
        double even = book.workSent.at(now) / lived / Math.max(warm, 1 + book.workers.size() / 2);
        // One that has told nothing yet is asked only when it may be sent to: it counts as one of many.
        double sure = book.slots(w) * book.speed(w.entry.kind(), LEAST_SPEED, now) / settings.nodes();
        double rate = part * warmth * settings.rules().tipMultiple()
                * Math.max(COLD_MARGIN * even, COLD_SURE * sure);
        return w.cold.allows(rate, book.lightCost(), settings.rules().fallWithin(), book.coldCost(r),
                book.heaviest(now), now);
    }

    /** The first two rules, as far as they hold for any worker. */
    private boolean maySend(Request r) {
        boolean may = r.attempts.size() < settings.limits().maxAttempts()
                && now < Math.min(r.lastMoment, r.repeatableUntil(settings.tick()));
        for (Attempt a : r.attempts) {
            may &= (!a.open || settings.limits().secondCopies())
                    && (a.neverRan || r.repeat != Repeat.SINGLE_SHOT);
        }
        return may;
    }

    /** The second and third rule for one worker. */
    private boolean maySendTo(Request r, Worker w) {
        boolean may = w.entry.state() == State.READY && book.workers.get(w.id) == w;
        for (Attempt a : r.attempts) {
            may &= a.neverRan || a.worker != w && (r.repeat != Repeat.GUARDED
                    || r.type.group().joins(a.worker.entry, w.entry));
        }
        return may;
    }

    /** The only place that sends. */
    private void send(Request r, Worker w) {
        actions.add(new Send(r.arrival.request(), w.id, 0, r.repeatableUntil(settings.tick())));
        Attempt attempt = new Attempt(r, w, now);
        r.attempts.add(attempt);
        w.open.add(attempt);
        w.ownSince.add(r.arrival.slots(), now);
        w.cold.take(book.coldCost(r));
        book.workSent.add(book.work(r), now);
        if (settings.tellsStart()) {
            wake(r, now + (long) book.patience() + settings.tick());
            wake(r, r.giveUpAt);
        }
    }

    private void running(Running running) {
        Attempt a = book.attempt(running.request(), running.attempt());
        if (a == null) {
            return;
        }
        a.worker.heard(now);
        if (a.startedAt < 0) {
            a.startedAt = now;
            if (settings.reporting() == Reporting.NONE) {
                book.sample(a.worker, now - a.sentAt > book.patience() / 2 ? 1 : 0, now);
            }
            book.noteWait(now - a.sentAt);
            for (int i = 0; i < a.request.attempts.size(); i++) {
                if (a.request.attempts.get(i).startedAt < 0) {
                    cancel(a.request, i);
                }
            }
        }
    }

    private void ended(Ended e) {
        Attempt a = book.attempt(e.request(), e.attempt());
        if (a == null) {
            return;
        }
        Request r = a.request;
        Worker w = a.worker;
        a.open = false;
        a.neverRan = e.outcome().neverRan;
        w.open.remove(a);
        w.ownSince.add(-r.arrival.slots(), now);
        book.report(w, e.report(), now);
        switch (e.outcome()) {
            case OK -> {
                w.heard(now);
                book.noteServed(a, a.startedAt < 0 ? e.took() : now - a.startedAt, now);
            }
            case ERROR, RESET -> w.heard(now);
            case FULL -> {
                w.heard(now);
                book.sample(w, 2, now);
                w.avoidUntil = now + (long) (book.meanRunOfAll() * (0.5 + random.nextDouble()));
            }
            case CONNECT_FAILED, TIMEOUT -> avoid(w, e.outcome());
            case CANCELLED, MOOT -> {
                if (a.startedAt < 0) {
                    book.noteWait(now - a.sentAt);
                    // A client that leaves at once says nothing of the worker.
                    if (w.heardAt < a.sentAt && now - a.sentAt > book.meanRunOfAll()) {
                        avoid(w, e.outcome());
                    }
                }
            }
        }
        if (e.answered()) {
            end(r, null);
        } else if (maySend(r)) {
            anew(r);
        } else {
            giveUpUnlessOpen(r);
        }
        book.forget(r);
        released(w.entry);
    }

    /** Who fetches tells at once what room there is: no held job waits for the next look. */
    private void released(Entry e) {
        if (e.queues() != null && !book.held.isEmpty()) {
            release();
        }
    }

    /**
     * Leaves a silent worker alone, longer each time, and never so many that the rest would drown. One that
     * was heard a moment ago may only have lost a connection: at first it is left alone for a short while.
     */
    private void avoid(Worker w, Outcome outcome) {
        boolean brief = outcome == Outcome.CONNECT_FAILED && now - w.heardAt < FRESH;
        long avoided = book.workers.values().stream().filter(x -> now < x.avoidUntil).count();
        if (3 * avoided < book.workers.size()) {
            long first = (long) ((brief ? 0.5 : 8) * book.meanRunOfAll());
            w.backoff = w.backoff == 0 ? first : Math.min(16_000_000, w.backoff * 2);
            w.avoidUntil = now + w.backoff / 2 + random.nextLong(w.backoff);
        }
    }

    private void probed(Probed p) {
        Worker w = book.workers.get(p.worker());
        if (w == null) {
            return;
        }
        w.probedAt = -1;
        if (p.outcome() == Outcome.OK) {
            w.heardAt = now;
            book.report(w, p.report(), now);
            book.probeTime += 0.05 * (p.took() - book.probeTime);
        } else if (p.outcome() != Outcome.RESET) {
            // A reset comes from a machine that is there; were its process gone, the next send would tell.
            avoid(w, p.outcome());
        }
        List<Request> waiters = new ArrayList<>(w.probeWaiters);
        w.probeWaiters.clear();
        for (Request r : waiters) {
            if (--r.probesOut == 0) {
                place(r);
            }
        }
    }

    private void timer(long token) {
        if (token == ASK) {
            book.ask.asked(now);
            actions.add(new Subscribe());
        } else if (token == POLL) {
            book.polling = false;
            release();
            poll();
        } else if (book.timers.containsKey(token)) {
            review(book.timers.get(token));
        }
    }

    /** A request's timer: an answer to a probe, a start or the end is overdue. */
    private void review(Request r) {
        if (now >= r.lastMoment) {
            giveUp(r, Why.CLIENT_LEAVES);
            return;
        }
        if (!r.anyOpen() && r.probesOut > 0) {
            for (Worker w : book.workers.values()) {
                w.probeWaiters.remove(r);
            }
            r.probesOut = 0;
            place(r);
        }
        if (!r.anyOpen() || r.anyRunning()) {
            return;
        }
        Attempt last = r.attempts.get(r.attempts.size() - 1);
        if (now >= r.giveUpAt) {
            giveUp(r, Why.NOT_STARTED_IN_TIME);
        } else if (now - last.sentAt >= book.patience() && maySend(r)) {
            Worker w = choose(r, 1);
            if (w != null) {
                send(r, w);
            }
        }
    }

    private void giveUpUnlessOpen(Request r) {
        if (!r.anyOpen()) {
            giveUp(r, Why.NO_OTHER_ATTEMPT);
        }
    }

    private void cancel(Request r, int number) {
        Attempt a = r.attempts.get(number);
        if (a.open && !a.cancelled && settings.limits().cancelling()) {
            a.cancelled = true;
            actions.add(new Cancel(r.arrival.request(), number));
        }
    }

    /**
     * Answers at once. Where a repeat does no harm this is a refusal that says when to come back, for who
     * asks again at once meets the same load; what may have run is failed.
     */
    private void giveUp(Request r, Why why) {
        boolean harmless = r.repeat == Repeat.FREE || r.attempts.stream().allMatch(a -> a.neverRan);
        long holdOff = settings.limits().holdOff() ? settings.limits().maxHoldOff() : 0;
        String request = r.arrival.request();
        book.firstAsked.sentAway(why, now);
        end(r, harmless ? new Refuse(request, holdOff, why) : new Fail(request, why));
    }

    /** The only place that ends a request; without an answer where it has one or is owed none. */
    private void end(Request r, Action answer) {
        if (!r.ended) {
            r.ended = true;
            book.timers.remove(r.token);
            book.held.remove(r);
            if (answer != null) {
                actions.add(answer);
            }
            for (int i = 0; i < r.attempts.size(); i++) {
                cancel(r, i);
            }
            book.forget(r);
        }
    }

    /** The workers that may run it. */
    private Worker[] pool(Request r) {
        return book.pool(r.type.kind(), r.arrival.queue());
    }

    private Key key(Request r) {
        String queue = r.arrival.queue() == null ? "" : '/' + r.arrival.queue();
        Key key = book.key(r.arrival.key() + '/' + r.type.kind() + queue, KEYS, MEMORY);
        if (key.version != book.version) {
            rank(key, Book.hash(r.arrival.key()), pool(r));
        }
        return key;
    }

    /** Rendezvous hashing: a change of the list moves only the keys of the workers that came or went. */
    private void rank(Key key, long hash, Worker[] pool) {
        Worker[] sorted = pool.clone();
        key.version = book.version;
        key.second = pool.length == 0 ? null : sortBy(sorted, hash ^ SECOND_HASH)[0];
        key.ranking = Arrays.copyOf(sortBy(sorted, hash), Math.min(RANKS, pool.length));
    }

    private Worker[] sortBy(Worker[] pool, long hash) {
        for (Worker w : pool) {
            w.score = -Math.log(Book.unit(hash ^ w.hash)) / (settings.steadyWeights() ? w.entry.weight() : 1);
        }
        Arrays.sort(pool, Comparator.comparingDouble(w -> w.score));
        return pool;
    }
}
