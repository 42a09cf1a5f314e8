package loomreel.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loomreel.config.ResolverResult;
import loomreel.config.ServeConfig;
import loomreel.decision.Brain;
import loomreel.decision.Model;
import loomreel.decision.Model.Event;
import loomreel.decision.Model.Outcome;

/** Tells the module what the sockets see and does on the sockets what it says. It decides nothing. */
final class Dispatcher implements Resolver.Listener {
    private static final long SECOND = 1_000_000;
    static final long FIGURES_EVERY = 10 * SECOND;
    /** Our side of an idle connection ends at this share of the time after which the copy worker ends it. */
    private static final double IDLE_SHARE = 0.7;

    final EventLoop loop;
    final BoundedLog log = new BoundedLog("loomreel.net.dispatcher");
    private final BoundedLog moduleLog = new BoundedLog("loomreel.decision");
    private final BoundedLog peerLog = new BoundedLog("loomreel.net.peer");
    private final ServeConfig config;
    private final Brain brain = new Brain();
    private final Resolver resolver;
    private final Peer.Descriptors descriptors;
    private final KeepAlive keepAlive;
    private final Map<String, Rpc> rpcs = new HashMap<>();
    /** The ids that the other process of this dispatcher holds: an id is in use once, wherever that is. */
    private final Set<String> heldBeside = new HashSet<>();
    private Sibling sibling;
    private final Map<String, Subchannel> subchannels = new HashMap<>();
    /** The module answers one event before it hears the next, also of what its own answer caused. */
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final List<Model.Action> actions = new ArrayList<>();
    final Figures figures;
    private int most;
    /** When what is taken from now on has its answer at the latest. */
    private long leaveBy = Long.MAX_VALUE;
    private boolean telling;
    private int taken;
    private int withdrawn;
    private int probes;
    private int probesLost;

    /** A dispatcher that has not started, and has no room before it is told how much. */
    Dispatcher(EventLoop loop, ServeConfig config) {
        this.loop = loop;
        this.config = config;
        figures = new Figures(config.settings().classes());
        descriptors = new Peer.Descriptors(0);
        keepAlive = new KeepAlive((long) (config.idleFor() * IDLE_SHARE));
        resolver = new Resolver(loop, new Peer(loop, "discovery", config.discovery(), new Peer.Descriptors(1),
                config.connectWithin(), new KeepAlive(SECOND), peerLog), config.known().seq(), this);
    }

    /** From now on {@code sockets} are for calls that it makes, and {@code jobs} RPCs may be open. */
    void room(int sockets, int jobs) {
        descriptors.most(sockets);
        most = jobs;
    }

    /** Starts; {@code down} are the copy workers that operators have taken out of use. */
    void start(Set<String> down) {
        tell(new Model.Start(config.seed(), config.settings()));
        down.forEach(this::down);
        resolved(config.known());
        everySecond();
        logFigures();
    }

    private void everySecond() {
        subchannels.values().forEach(Subchannel::closeStale);
        loop.at(loop.now() + SECOND, this::everySecond);
    }

    private void logFigures() {
        log.info(summary() + "; longest turn " + loop.takeLongestTurn() / 1000 + " ms");
        loop.at(loop.now() + FIGURES_EVERY, this::logFigures);
    }

    /** What has come of everything so far. */
    String summary() {
        return "open " + rpcs.size() + ", in all: taken " + taken + ", served "
                + figures.count(Figures.Settled.SUCCESS) + ", refused " + figures.count(Figures.Settled.BUSY)
                + ", failed " + figures.count(Figures.Settled.FAILURE) + ", withdrawn " + withdrawn + "; copy workers " + subchannels.size()
                + ", probes " + probes + ", of them lost " + probesLost;
    }

    /** Whether the list names a copy worker. */
    boolean lists(String worker) {
        return subchannels.containsKey(worker);
    }

    /** Whether another process of this dispatcher serves beside this one. */
    void beside(boolean other) {
        if (other) {
            rpcs.keySet().forEach(id -> sibling.tell("holds", id));
        } else {
            heldBeside.clear();
        }
        part(other ? 0.5 : 1);
    }

    /** The part of this dispatcher's leave for cold copy workers that this process may use. */
    void part(double part) {
        tell(new Model.Part(part));
    }

    /** Nothing more goes to a copy worker. */
    void down(String worker) {
        tell(new Model.Down(worker));
    }

    /** A copy worker may serve again. */
    void up(String worker) {
        tell(new Model.Up(worker));
    }

    /** Whether nothing that was taken is still open. */
    boolean isEmpty() {
        return rpcs.values().stream().allMatch(Rpc::isOver);
    }

    /** What is reported of it all. */
    Map<String, Object> report() {
        int open = (int) rpcs.values().stream().filter(r -> !r.isOver()).count();
        return figures.report(open, subchannels.size(), brain.avoided(loop.now()));
    }

    /** Whether another RPC may be taken. */
    boolean hasRoom() {
        return rpcs.size() < most;
    }

    /** Whether an RPC of that id is on its way here. */
    boolean holds(String id) {
        return rpcs.containsKey(id);
    }

    /** Whether an RPC of that id is on its way here or in the other process. */
    boolean inUse(String id) {
        return holds(id) || heldBeside.contains(id);
    }

    /** Says to the other process from now on which ids are in use here. */
    void tie(Sibling to) {
        sibling = to;
    }

    /** The other process holds an id, or no longer. */
    void heldBeside(String id, boolean held) {
        if (held) {
            heldBeside.add(id);
        } else {
            heldBeside.remove(id);
        }
    }

    /** Takes an RPC; from here on it gets one answer. */
    void take(Rpc rpc, Model.Arrival arrival) {
        taken++;
        rpcs.put(rpc.id, rpc);
        if (sibling != null) {
            sibling.tell("holds", rpc.id);
        }
        loop.at(Math.min(leaveBy, rpc.deadline + config.answerSlack()), () -> overdue(rpc));
        tell(arrival);
    }

    /** What is taken from here on is answered by this time, done or not: the process will not live much longer. */
    void leaveBy(long time) {
        leaveBy = time;
    }

    /**
     * The module answers before the deadline. Should it ever not, the client still gets an answer; so does one whose
     * job would outlive the process.
     */
    private void overdue(Rpc rpc) {
        if (!rpc.isOver()) {
            log.warn((loop.now() >= leaveBy ? "not done before leaving: " : "no decision by its deadline: ") + rpc.id
                    + " failed");
            rpc.fail();
            tell(new Model.Withdrawn(rpc.id));
            // Without an attempt nothing else would ever let go of it.
            forget(rpc);
        }
    }

    /** The caller has gone. */
    void withdraw(Rpc rpc) {
        if (rpc.end()) {
            withdrawn++;
            tell(new Model.Withdrawn(rpc.id));
            forget(rpc);
        }
    }

    /** What a copy worker says of a job; of one that is not known any more there is nothing to be done. */
    void news(JobNews news) {
        Rpc rpc = rpcs.get(news.id());
        CallAttempt attempt = rpc == null ? null : rpc.openAt(news.from());
        if (attempt != null) {
            attempt.news(news.state(), news.result(), news.load());
        }
    }

    void running(CallAttempt attempt) {
        tell(new Model.Running(attempt.rpc.id, attempt.number));
    }

    void ended(CallAttempt attempt, Outcome outcome, Model.Report report) {
        Rpc rpc = attempt.rpc;
        tell(new Model.Ended(rpc.id, attempt.number, attempt.worker(), outcome, rpc.isOver(),
                loop.now() - attempt.sentAt, report));
        forget(rpc);
    }

    void probed(String worker, Outcome outcome, long sentAt, Model.Report report) {
        probes++;
        probesLost += outcome == Outcome.OK ? 0 : 1;
        tell(new Model.Probed(worker, outcome, loop.now() - sentAt, report));
    }

    /** Discovery is at another address from now on. */
    void moveDiscovery(InetSocketAddress address) {
        resolver.moveTo(address);
    }

    @Override
    public void lost() {
        tell(new Model.ListLost());
    }

    @Override
    public void resolved(ResolverResult result) {
        Map<String, Subchannel> before = new HashMap<>(subchannels);
        for (Model.Entry entry : result.entries()) {
            before.remove(entry.id());
            if (entry.state() == Model.State.GONE) {
                retire(entry.id());
            } else {
                subchannels.computeIfAbsent(entry.id(), id -> subchannel(entry, result))
                        .update(result.addresses().get(entry.id()), entry.startedAt());
            }
        }
        if (result.whole()) {
            before.keySet().forEach(this::retire);
        }
        tell(result.whole() ? new Model.WholeList(result.entries()) : new Model.ListChanges(result.entries()));
    }

    private Subchannel subchannel(Model.Entry entry, ResolverResult result) {
        Peer peer = new Peer(loop, entry.id(), result.addresses().get(entry.id()), descriptors,
                config.connectWithin(), keepAlive, peerLog);
        return new Subchannel(this, entry.id(), peer, entry.startedAt(), config.connectWithin());
    }

    private void retire(String id) {
        Subchannel gone = subchannels.remove(id);
        if (gone != null) {
            gone.retire();
        }
    }

    /** Every event goes through here, one at a time. */
    private void tell(Event event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                actions.clear();
                brain.on(next, loop.now(), actions);
                actions.forEach(this::perform);
            }
        } finally {
            telling = false;
        }
    }

    private void perform(Model.Action action) {
        if (action instanceof Model.Send send) {
            send(send);
        } else if (action instanceof Model.Cancel cancel) {
            Rpc rpc = rpcs.get(cancel.request());
            if (rpc != null) {
                rpc.attempts.get(cancel.attempt()).cancel();
            }
        } else if (action instanceof Model.Refuse refuse) {
            Rpc rpc = rpcs.get(refuse.request());
            if (rpc != null && !rpc.isOver()) {
                rpc.refuse(new UnavailableStatus(refuse.holdOff()));
                forget(rpc);
            }
        } else if (action instanceof Model.Fail fail) {
            Rpc rpc = rpcs.get(fail.request());
            if (rpc != null && !rpc.isOver()) {
                rpc.fail();
                forget(rpc);
            }
        } else if (action instanceof Model.Probe probe) {
            Subchannel subchannel = subchannels.get(probe.worker());
            if (subchannel == null) {
                probed(probe.worker(), Outcome.CONNECT_FAILED, loop.now(), null);
            } else {
                subchannel.probe();
            }
        } else if (action instanceof Model.Timer timer) {
            loop.at(timer.at(), () -> tell(new Model.TimerDue(timer.token())));
        } else if (action instanceof Model.Subscribe) {
            resolver.watch();
        } else if (action instanceof Model.Log line) {
            moduleLog.info(line.text());
        } else {
            throw new IllegalStateException("no way to do " + action);
        }
    }

    /** Every send makes an attempt, and every attempt ends, so that the module's numbers and ours stay the same. */
    private void send(Model.Send send) {
        Rpc rpc = rpcs.get(send.request());
        if (rpc == null) {
            return;
        }
        long until = send.timeout() > 0 ? Math.min(rpc.deadline, loop.now() + send.timeout()) : rpc.deadline;
        Subchannel subchannel = subchannels.get(send.worker());
        boolean moot = rpc.isOver() || rpc.attempts.size() >= config.settings().limits().maxAttempts()
                || loop.now() >= until || rpc.openAt(send.worker()) != null;
        CallAttempt attempt = new CallAttempt(this, rpc, send.worker(), subchannel, loop.now(), until);
        rpc.attempts.add(attempt);
        if (moot) {
            attempt.skip(Outcome.MOOT);
        } else if (subchannel == null) {
            attempt.skip(Outcome.CONNECT_FAILED);
        } else {
            attempt.start();
        }
    }

    private void forget(Rpc rpc) {
        if (rpc.isDone() && rpcs.remove(rpc.id, rpc) && sibling != null) {
            sibling.tell("frees", rpc.id);
        }
    }
}
