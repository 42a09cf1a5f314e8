package loomreel.server;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.core.Dispatcher;
import loomreel.decision.Model;
import loomreel.io.BoundedLog;
import loomreel.io.BufferPool;
import loomreel.io.EventLoop;
import loomreel.process.Lifecycle;
import loomreel.process.Operations;
import loomreel.web.HttpFront;
import loomreel.web.HttpWorkers;
import loomreel.web.JobNews;

/** One real dispatcher: puts its parts together, shares descriptors among them, and goes when told to, empty. */
public final class Server implements Operations, HttpFront.Gate, Lifecycle.Host {
    /**
     * Descriptors that are neither a client's nor a copy worker's: files, the selector, the listener, discovery,
     * the other process and operators.
     */
    private static final int OTHER_DESCRIPTORS = 32;
    /** The copy workers' part of the rest: a job holds a connection to one for a round trip. */
    private static final double CALLS = 0.25;
    /** The part of what comes in that jobs may hold; news needs the rest, for without it no job would ever end. */
    private static final double JOBS = 0.75;
    /** Connections that wait in the system's queue; one that finds it full is tried again after a second. */
    private static final int BACKLOG = 4096;
    /** After a stop is asked for, connections are used this much longer: another dispatcher may be down as well. */
    private static final long STAY = 1_500_000;
    /**
     * With a successor, idle connections are kept for so long after that: whoever uses one meanwhile is told to close
     * it, and a close of ours would cross what a client sends.
     */
    private static final long KEEP_IDLE = 2_300_000;
    /** A stop is cut short no earlier than this after the longest deadline, which counts as 3 s at most. */
    private static final long KILLED_AFTER = 700_000;
    private static final long LONGEST = 3_000_000;
    /** What is left of that for the last answers to go out. */
    private static final long LAST_ANSWERS = 200_000;
    private static final long LOOK_EVERY = 20_000;

    private final BoundedLog log = new BoundedLog("loomreel.server");
    private final ServeConfig config;
    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final HttpWorkers workers;
    private final HttpFront front;
    private final Lifecycle life;
    private boolean started;
    private boolean closing;

    /**
     * Opens the port.
     *
     * @throws IOException if it cannot be had
     */
    public Server(ServeConfig config) throws IOException {
        this.config = config;
        loop = new EventLoop(new BufferPool((int) (config.memory() / 16 / BufferPool.SIZE)));
        dispatcher = new Dispatcher(loop, config.settings(), config.seed(), config.answerSlack());
        workers = new HttpWorkers(dispatcher, config.known(), config.discovery(), config.connectWithin(),
                config.idleFor());
        dispatcher.add(workers);
        ServerSocketChannel listener = config.inherited() ? inherited() : bound(config);
        listener.configureBlocking(false);
        life = new Lifecycle(dispatcher, config.directory() == null ? null
                : config.directory().resolve(config.name().replaceAll("[^A-Za-z0-9_-]", "_")), config.inherited(), this);
        front = new HttpFront(dispatcher, config.settings(), listener, this);
        shared(life.isTied());
        log.info(config.name() + " listens on " + listener.getLocalAddress() + ", " + config.known().entries().size()
                + " copy workers known");
    }

    private static ServerSocketChannel bound(ServeConfig config) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return listener.bind(config.listen(), BACKLOG);
    }

    /**
     * The listener that the platform holds and hands to each process as descriptor 0. It is never closed: the library
     * would send standard error away with it.
     */
    private static ServerSocketChannel inherited() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException("descriptor 0 is no listening socket");
    }

    /** Two processes are one dispatcher to the platform: what it grants is shared evenly while both run. */
    @Override
    public void shared(boolean tied) {
        int granted = config.sockets() / (tied ? 2 : 1);
        int sockets = Math.max(16, granted - OTHER_DESCRIPTORS);
        int calls = (int) (sockets * CALLS);
        workers.room(calls);
        dispatcher.room((int) ((sockets - calls) * JOBS));
        front.room(sockets - calls, granted);
    }

    /** The loop that all of it runs on. */
    public EventLoop loop() {
        return loop;
    }

    @Override
    public boolean isReady() {
        return started && !closing;
    }

    @Override
    public Map<String, Object> figures() {
        return dispatcher.report();
    }

    @Override
    public boolean copyWorker(String id, boolean down) throws IOException {
        return life.copyWorker(id, down);
    }

    @Override
    public void drain(boolean on) throws IOException {
        life.drain(on);
    }

    @Override
    public void letClientsGo() {
        front.closeIdle(false);
    }

    @Override
    public boolean passed(byte[] body) {
        JobNews news = JobNews.of(body);
        boolean here = news != null && dispatcher.holds(news.id());
        if (here) {
            news.tell(dispatcher);
        }
        return here;
    }

    @Override
    public void pass(byte[] news, Runnable taken) {
        life.pass(news, taken);
    }

    @Override
    public boolean takesClients() {
        return !life.isDrained();
    }

    @Override
    public boolean takesJobs() {
        return !life.clientsGone();
    }

    @Override
    public boolean isClosing() {
        return closing;
    }

    /** Copy workers keep their connections while clients are sent away. */
    @Override
    public boolean isLast(boolean bringsNews) {
        return closing || life.isDrained() && !bringsNews;
    }

    /**
     * Serves until it has been drained.
     *
     * @throws IOException if the selector fails
     */
    public void run() throws IOException {
        dispatcher.start(life.down());
        workers.start();
        dispatcher.keep();
        life.started();
        started = true;
        logFigures();
        loop.run();
        log.info("empty, leaving; " + dispatcher.summary() + "; " + front.summary());
    }

    /**
     * Lets go. Alone, all goes on as before for a while, since clients keep to the connections that they have and there
     * may be nowhere else to go; with a successor it accepts no more and sends clients over to that. Then what is
     * taken is served, and what is not done by the end fails. Any thread may call this.
     */
    public void drain() {
        loop.post(() -> {
            boolean replaced = life.hasSuccessor();
            log.info("asked to stop: draining" + (replaced ? ", the successor accepts" : ""));
            if (replaced) {
                closing = true;
                front.stopAccepting();
                life.leave();
            }
            long longest = config.settings().classes().stream().mapToLong(Model.RequestClass::deadline).max().orElse(0);
            dispatcher.leaveBy(loop.now() + Math.min(LONGEST, longest) + KILLED_AFTER - LAST_ANSWERS);
            loop.at(loop.now() + Math.min(replaced ? KEEP_IDLE : STAY, longest), () -> {
                closing = true;
                front.closeIdle(true);
                leaveWhenEmpty();
            });
        });
    }

    /**
     * Reads the configuration again, on the loop's thread. Discovery's address is taken over; what else has changed
     * holds from the next start on. A file that is no good changes nothing. Any thread may call this.
     *
     * @param env the environment
     */
    public void reload(Map<String, String> env) {
        loop.post(() -> {
            ServeConfig next;
            try {
                next = ServeConfig.reread(env);
            } catch (ConfigException e) {
                dispatcher.figures.reconfigured(false);
                log.warn("the new configuration is no good, the old one stays: " + e.getMessage());
                return;
            }
            dispatcher.figures.reconfigured(true);
            log.info("configuration read again: discovery at " + next.discovery()
                    + (next.restartsAs(config) ? "" : "; the other changes wait for the next start"));
            workers.moveDiscovery(next.discovery());
        });
    }

    private void logFigures() {
        log.info(front.summary());
        loop.at(loop.now() + Dispatcher.FIGURES_EVERY, this::logFigures);
    }

    private void leaveWhenEmpty() {
        if (dispatcher.isEmpty() && !front.owes()) {
            loop.stop();
        } else {
            loop.at(loop.now() + LOOK_EVERY, this::leaveWhenEmpty);
        }
    }
}
