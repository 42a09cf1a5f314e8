package loomreel.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.decision.Model;
import loomreel.http.BufferPool;

/** One real dispatcher: accepts connections, and goes when told to, empty. */
public final class Server implements EventLoop.Handler {
    /** What a client is told that there is no room for, in microseconds. */
    static final long COME_BACK = 500_000;
    /** Descriptors that are neither a client's nor a copy worker's: files, the selector, the listener, discovery. */
    private static final int OTHER_DESCRIPTORS = 64;
    /** The clients' part of the rest. Jobs wait for seconds on a client's connection, for a round trip on a worker's. */
    private static final double CLIENTS = 0.6;
    /** Connections above the clients' part that may only bring news, without which no job would ever end. */
    private static final int NEWS_ONLY = 64;
    /** New connections come for up to 0.4 s after a stop is asked for. */
    private static final long ACCEPT_FOR = 500_000;
    private static final long FRESH_FOR = 1_000_000;
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
    private final int mostClients;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /** Those without a request, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Those accepted a moment ago. */
    private final Set<ClientConnection> fresh = new HashSet<>();
    private boolean draining;
    private boolean idleClosed;

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
        int sockets = Math.max(16, config.sockets() - OTHER_DESCRIPTORS - NEWS_ONLY);
        mostClients = (int) (sockets * CLIENTS);
        dispatcher = new Dispatcher(loop, config, sockets - mostClients);
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.configureBlocking(false);
        listener.bind(config.listen(), 1024);
        key = listener.register(loop.selector, SelectionKey.OP_ACCEPT, this);
        log.info(config.name() + " listens on " + listener.getLocalAddress() + ", " + config.known().entries().size()
                + " copy workers known");
    }

    /**
     * Serves until it has been drained.
     *
     * @throws IOException if the selector fails
     */
    public void run() throws IOException {
        dispatcher.start();
        loop.run();
        log.info("empty, leaving");
    }

    /** Lets go: what is taken is served, new connections are taken for a while. Any thread may call this. */
    public void drain() {
        loop.post(() -> {
            log.info("asked to stop: draining");
            draining = true;
            loop.at(loop.now() + ACCEPT_FOR, () -> {
                idleClosed = true;
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
                log.warn("the new configuration is no good, the old one stays: " + e.getMessage());
                return;
            }
            log.info("configuration read again: discovery at " + next.discovery()
                    + (next.restartsAs(config) ? "" : "; the other changes wait for the next start"));
            dispatcher.moveDiscovery(next.discovery());
        });
    }

    private void leaveWhenEmpty() {
        if (dispatcher.isEmpty() && clients.stream().noneMatch(ClientConnection::owes)) {
            loop.stop();
        } else {
            loop.at(loop.now() + LOOK_EVERY, this::leaveWhenEmpty);
        }
    }

    boolean isDraining() {
        return draining;
    }

    @Override
    public void ready(SelectionKey selected) {
        try {
            for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
                accept(channel);
            }
        } catch (IOException e) {
            // The connection stays ready to be accepted: without a pause the loop would do nothing but fail at it.
            log.warn("cannot accept: " + e.getMessage());
            key.interestOps(0);
            loop.at(loop.now() + ACCEPT_AGAIN, () -> key.interestOps(SelectionKey.OP_ACCEPT));
        }
    }

    private void accept(SocketChannel channel) throws IOException {
        if (clients.size() >= mostClients && !idle.isEmpty()) {
            idle.iterator().next().close();
        }
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            ClientConnection connection = new ClientConnection(loop, channel, this, clients.size() >= mostClients);
            clients.add(connection);
            // Its first request may be here already, unread: it is not idle until it has kept silent for a while.
            fresh.add(connection);
            loop.at(loop.now() + FRESH_FOR, () -> {
                if (fresh.remove(connection)) {
                    idle(connection);
                }
            });
        } catch (IOException e) {
            channel.close();
        }
        if (clients.size() >= mostClients + NEWS_ONLY) {
            log.warn("no descriptor left for clients: accepting no more");
            key.interestOps(0);
        }
    }

    void busy(ClientConnection connection) {
        fresh.remove(connection);
        idle.remove(connection);
    }

    void idle(ClientConnection connection) {
        if (idleClosed) {
            connection.close();
        } else {
            idle.add(connection);
        }
    }

    void closed(ClientConnection connection) {
        clients.remove(connection);
        fresh.remove(connection);
        idle.remove(connection);
        key.interestOps(SelectionKey.OP_ACCEPT);
    }
}
