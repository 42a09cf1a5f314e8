package loomreel.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.decision.Model;
import loomreel.http.BufferPool;

/** One real dispatcher: accepts connections, and goes when told to, empty. */
public final class Server implements EventLoop.Handler, Operations, Sibling.Listener {
    /** What a client is told that there is no room for, in microseconds. */
    private static final long COME_BACK = 500_000;
    /**
     * Descriptors that are neither a client's nor a copy worker's: files, the selector, the listener, discovery,
     * the other process and operators.
     */
    private static final int OTHER_DESCRIPTORS = 32;
    /** The copy workers' part of the rest: a job holds a connection to one for a round trip. */
    private static final double CALLS = 0.25;
    /** The part of what comes in that jobs may hold; news needs the rest, for without it no job would ever end. */
    private static final double JOBS = 0.75;
    /** A connection that has said nothing of use may have its first request unread for so long. */
    private static final long FRESH_FOR = 100_000;
    /** The part of what comes in that is kept for connections that have brought something, while others crowd in. */
    private static final double KNOWN = 0.5;
    /**
     * The part of all descriptors that idle connections may hold. Clients may ask once on each and stay; they hold a
     * third of the descriptors at most, and what they keep for nothing they lack for the next job.
     */
    private static final double IDLE = 1 / 8.0;
    /** Connections that wait in the system's queue; one that finds it full is tried again after a second. */
    private static final int BACKLOG = 4096;
    private static final int ACCEPT_AT_ONCE = 64;
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
    /**
     * After operators have had clients sent away, idle connections are kept and jobs are taken this much longer: the
     * front needs 0.2 s to notice, and after 2 s no job may come in any more.
     */
    private static final long LET_GO = 1_800_000;
    private static final long LOOK_EVERY = 20_000;
    private static final long ACCEPT_AGAIN = 100_000;

    final Map<String, Integer> classes = new HashMap<>();
    final Map<String, Integer> tenants = new HashMap<>();
    final Dispatcher dispatcher;
    final BoundedLog log = new BoundedLog("loomreel.net.server");
    private final ServeConfig config;
    private final EventLoop loop;
    private final ServerSocketChannel listener;
    private final SelectionKey key;
    /** The other process of this dispatcher; null where there cannot be one. */
    private final Sibling sibling;
    private int most;
    private int mostIdle;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /** Those that have brought neither a job nor news so far, or are leaving, and since when; the oldest first. */
    private final Map<ClientConnection, Long> strangers = new LinkedHashMap<>();
    /** Those without a request, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    private int accepted;
    private int strangersClosed;
    private int idleClosed;
    private int tooLate;
    private int noRoom;
    private boolean paused;
    private boolean accepting = true;
    private boolean started;
    /** What operators have said, and where it is kept; null where there is no such place. */
    private OperatorState state;
    private final Path stateFile;
    /** Runs from the start of a drain of clients until they are let go. */
    private EventLoop.Timer letGo;
    private boolean clientsGone;
    private boolean closing;

    /**
     * Opens the port.
     *
     * @throws IOException if it cannot be had
     */
    public Server(ServeConfig config) throws IOException {
        this.config = config;
        loop = new EventLoop(new BufferPool((int) (config.memory() / 16 / BufferPool.SIZE)));
        for (Model.RequestClass c : config.settings().classes()) {
            classes.put(c.name(), classes.size());
        }
        for (Model.Tenant t : config.settings().tenants()) {
            tenants.put(t.name(), tenants.size());
        }
        dispatcher = new Dispatcher(loop, config);
        listener = config.inherited() ? inherited() : bound(config);
        listener.configureBlocking(false);
        // Before anything is accepted: the first call-back may be meant for the other process.
        sibling = config.inherited() && config.directory() != null ? tie() : null;
        dispatcher.tie(sibling);
        // After the tie is up, so that what operators say from now on comes that way.
        stateFile = config.directory() == null ? null : file("state");
        state = readState();
        clientsGone = state.drained();
        share();
        key = listener.register(loop.selector, SelectionKey.OP_ACCEPT, this);
        log.info(config.name() + " listens on " + listener.getLocalAddress() + ", " + config.known().entries().size()
                + " copy workers known");
    }

    /** A name in the directory that the processes of this dispatcher share. */
    private Path file(String kind) {
        return config.directory().resolve(config.name().replaceAll("[^A-Za-z0-9_-]", "_") + "." + kind);
    }

    /** Without a tie, as where the path is too long for a socket, it serves all the same, and a successor is no help. */
    private Sibling tie() {
        try {
            return new Sibling(loop, file("sock"), this);
        } catch (IOException e) {
            log.warn("no tie to another process, an upgrade will lose call-backs: " + e.getMessage());
            return null;
        }
    }

    private OperatorState readState() {
        try {
            return OperatorState.read(stateFile);
        } catch (IOException e) {
            log.warn("what operators said to an earlier process cannot be read: " + e.getMessage());
            return OperatorState.of("");
        }
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
    private void share() {
        int granted = config.sockets() / (isTied() ? 2 : 1);
        int sockets = Math.max(16, granted - OTHER_DESCRIPTORS);
        int calls = (int) (sockets * CALLS);
        most = sockets - calls;
        mostIdle = (int) Math.max(4, granted * IDLE);
        dispatcher.room(calls, (int) (most * JOBS));
        for (int over = clients.size() - most; over > 0 && accepting && !paused; over--) {
            makeRoom();
        }
    }

    private boolean isTied() {
        return sibling != null && sibling.isTied();
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
        boolean known = dispatcher.lists(id) || state.down().contains(id);
        if (known && state.down().contains(id) != down) {
            change(state.with(id, down), down ? "down" : "up", id);
        }
        return known;
    }

    @Override
    public void drain(boolean on) throws IOException {
        if (state.drained() != on) {
            change(state.with(on), on ? "drain" : "serve", "");
        }
    }

    private void change(OperatorState next, String what, String text) throws IOException {
        next.keep(stateFile);
        apply(next);
        if (sibling != null) {
            sibling.tell(what, text);
        }
    }

    /** Makes what operators have said so, in so far as it is new. */
    private void apply(OperatorState next) {
        OperatorState before = state;
        state = next;
        next.down().stream().filter(id -> !before.down().contains(id)).forEach(dispatcher::down);
        before.down().stream().filter(id -> !next.down().contains(id)).forEach(dispatcher::up);
        if (next.drained() != before.drained()) {
            if (letGo != null) {
                letGo.cancel();
            }
            clientsGone = false;
            letGo = !next.drained() ? null : loop.at(loop.now() + LET_GO, () -> {
                clientsGone = true;
                new ArrayList<>(idle).stream().filter(c -> !c.bringsNews()).forEach(ClientConnection::close);
            });
        }
    }

    @Override
    public void tied(boolean newer) {
        share();
        dispatcher.beside(isTied());
        if (newer) {
            // It may have read the file just before the last change to it.
            sibling.tell("state", state.text());
        }
    }

    @Override
    public void told(String what, String text) {
        switch (what) {
            case "holds", "frees" -> dispatcher.heldBeside(text, what.equals("holds"));
            case "leaving" -> dispatcher.part(1);
            default -> toldByOperators(what, text);
        }
    }

    private void toldByOperators(String what, String text) {
        OperatorState next = switch (what) {
            case "down", "up" -> state.with(text, what.equals("down"));
            case "drain", "serve" -> state.with(what.equals("drain"));
            default -> OperatorState.of(text);
        };
        try {
            // Both keep it: two changes may cross, and the file must then hold both.
            next.keep(stateFile);
        } catch (IOException e) {
            log.warn("what the other process was told is not kept: " + e.getMessage());
        }
        apply(next);
    }

    @Override
    public boolean passed(byte[] body) {
        JobNews news = JobNews.of(body);
        boolean here = news != null && dispatcher.holds(news.id());
        if (here) {
            dispatcher.news(news);
        }
        return here;
    }

    /** News that nobody here waits for; {@code taken} is called when nothing more is to be done for it. */
    void pass(byte[] news, Runnable taken) {
        if (sibling == null) {
            taken.run();
        } else {
            sibling.pass(news, taken);
        }
    }

    /**
     * Serves until it has been drained.
     *
     * @throws IOException if the selector fails
     */
    public void run() throws IOException {
        dispatcher.start(state.down());
        dispatcher.beside(isTied());
        started = true;
        logFigures();
        loop.run();
        log.info("empty, leaving; " + dispatcher.summary() + "; " + summary());
    }

    /**
     * Lets go. Alone, all goes on as before for a while, since clients keep to the connections that they have and there
     * may be nowhere else to go; with a successor it accepts no more and sends clients over to that. Then what is
     * taken is served, and what is not done by the end fails. Any thread may call this.
     */
    public void drain() {
        loop.post(() -> {
            boolean replaced = sibling != null && sibling.hasSuccessor();
            log.info("asked to stop: draining" + (replaced ? ", the successor accepts" : ""));
            if (replaced) {
                accepting = false;
                closing = true;
                key.cancel();
                dispatcher.part(0);
                sibling.tell("leaving", "");
            }
            long longest = config.settings().classes().stream().mapToLong(Model.RequestClass::deadline).max().orElse(0);
            dispatcher.leaveBy(loop.now() + Math.min(LONGEST, longest) + KILLED_AFTER - LAST_ANSWERS);
            loop.at(loop.now() + Math.min(replaced ? KEEP_IDLE : STAY, longest), () -> {
                closing = true;
                new ArrayList<>(idle).forEach(ClientConnection::close);
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
            dispatcher.moveDiscovery(next.discovery());
        });
    }

    private void logFigures() {
        log.info(summary());
        loop.at(loop.now() + Dispatcher.FIGURES_EVERY, this::logFigures);
    }

    private String summary() {
        return "connections " + clients.size() + ", of no use so far " + strangers.size() + ", idle " + idle.size()
                + "; in all: accepted " + accepted + ", closed for room: of no use " + strangersClosed + ", idle "
                + idleClosed + "; too slow " + tooLate + ", jobs without room " + noRoom;
    }

    /** A connection did not say what it had to say in time. */
    void tooLate() {
        tooLate++;
    }

    /** Whether another job may be taken. */
    boolean hasRoom() {
        boolean room = !clientsGone && dispatcher.hasRoom();
        noRoom += room ? 0 : 1;
        return room;
    }

    /** What a job is told that is not taken: while clients are sent away, others have room for it now. */
    UnavailableStatus noRoom() {
        return new UnavailableStatus(clientsGone ? 0 : COME_BACK);
    }

    private void leaveWhenEmpty() {
        if (dispatcher.isEmpty() && clients.stream().noneMatch(ClientConnection::owes)) {
            loop.stop();
        } else {
            loop.at(loop.now() + LOOK_EVERY, this::leaveWhenEmpty);
        }
    }

    /** Whether every answer is the last one on its connection; copy workers keep theirs while clients are sent away. */
    boolean isLast(ClientConnection connection) {
        return closing || state.drained() && !connection.bringsNews();
    }

    /** Whether clients should come here. */
    boolean takesClients() {
        return !state.drained();
    }

    @Override
    public void ready(SelectionKey selected) {
        try {
            for (int i = 0; i < ACCEPT_AT_ONCE && !paused && accepting; i++) {
                SocketChannel channel = listener.accept();
                if (channel == null) {
                    return;
                }
                accept(channel);
            }
        } catch (IOException e) {
            // The connection stays ready to be accepted: without a pause the loop would do nothing but fail at it.
            log.warn("cannot accept: " + e.getMessage());
            pause(ACCEPT_AGAIN);
        }
    }

    private void accept(SocketChannel channel) throws IOException {
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            ClientConnection connection = new ClientConnection(loop, channel, this);
            clients.add(connection);
            accepted++;
            strangers.put(connection, loop.now());
        } catch (IOException e) {
            channel.close();
        }
        if (clients.size() >= most) {
            makeRoom();
        }
    }

    /**
     * Closes the oldest connection that never said anything of use. Whoever opens connections by the hundred must not
     * push out those that bring jobs and news, nor a new one whose first request may be here, unread. Where the
     * known ones are more than their part, the longest idle goes, or there would be no room to tell the two apart.
     */
    private void makeRoom() {
        if (!idle.isEmpty() && (strangers.isEmpty() || clients.size() - strangers.size() > most * KNOWN)) {
            closeLongestIdle();
        } else if (!strangers.isEmpty()) {
            Map.Entry<ClientConnection, Long> oldest = strangers.entrySet().iterator().next();
            long wait = oldest.getValue() + FRESH_FOR - loop.now();
            if (wait <= 0) {
                strangersClosed++;
                oldest.getKey().close();
            } else {
                pause(wait);
            }
        } else {
            log.warn("no descriptor left for clients: accepting no more");
            pause(ACCEPT_AGAIN);
        }
    }

    private void closeLongestIdle() {
        idleClosed++;
        idle.iterator().next().close();
    }

    private void pause(long pause) {
        if (!accepting) {
            return;
        }
        paused = true;
        key.interestOps(0);
        loop.at(loop.now() + pause, () -> {
            paused = false;
            if (accepting) {
                key.interestOps(SelectionKey.OP_ACCEPT);
            }
        });
    }

    /** A connection has brought a job or news. */
    void known(ClientConnection connection) {
        strangers.remove(connection);
    }

    void leaving(ClientConnection connection) {
        strangers.remove(connection);
        strangers.put(connection, loop.now());
    }

    void busy(ClientConnection connection) {
        idle.remove(connection);
    }

    void idle(ClientConnection connection) {
        if (closing) {
            connection.close();
        } else {
            idle.add(connection);
            if (idle.size() > mostIdle) {
                closeLongestIdle();
            }
        }
    }

    void closed(ClientConnection connection) {
        clients.remove(connection);
        strangers.remove(connection);
        idle.remove(connection);
    }
}
