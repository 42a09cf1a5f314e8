package loomreel.process;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import loomreel.http.BadMessageException;
import loomreel.http.Heads;
import loomreel.http.HttpConnection;
import loomreel.http.Message;
import loomreel.io.BoundedLog;
import loomreel.io.EventLoop;

/**
 * The tie to the other process of this dispatcher, while a new one takes over from an old one: both accept at the
 * address that clients and copy workers know, so each hears what is meant for the other. It is one connection inside
 * the machine that carries HTTP requests both ways, since each side asks as well as answers.
 */
final class Sibling implements EventLoop.Handler {
    /** Who hears what the other process has to say. */
    interface Listener {
        /** A tie has come up, to a newer process or not, or has gone. */
        void tied(boolean newer);

        /** Something that needs no answer. */
        void told(String what, String text);

        /** A call-back that the other process had nobody for; whether somebody here waits for it. */
        boolean passed(byte[] news);
    }

    private static final String NEWS = "/news";
    private static final String TAKEN = "/taken";

    private final EventLoop loop;
    private final Listener listener;
    private final BoundedLog log = new BoundedLog("loomreel.process.sibling");
    private final ServerSocketChannel channel;
    private final Set<Link> links = new LinkedHashSet<>();

    /**
     * Ties this process to one that is running, if there is one, and waits for one that comes later.
     *
     * @param path where the newest process of this dispatcher can be met
     * @throws IOException if that place cannot be had
     */
    Sibling(EventLoop loop, Path path, Listener listener) throws IOException {
        this.loop = loop;
        this.listener = listener;
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(path);
        channel = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        if (Files.exists(path)) {
            try {
                links.add(new Link(SocketChannel.open(address), false));
                log.info("tied to the process that is to be replaced");
            } catch (IOException e) {
                log.info("nobody is left at " + path.getFileName());
            }
            Files.deleteIfExists(path);
        }
        channel.bind(address);
        channel.configureBlocking(false);
        channel.register(loop.selector, SelectionKey.OP_ACCEPT, this);
    }

    boolean isTied() {
        return !links.isEmpty();
    }

    /** Whether a newer process serves beside this one. */
    boolean hasSuccessor() {
        return links.stream().anyMatch(l -> l.newer);
    }

    /** Tells the other process something that needs no answer. */
    void tell(String what, String text) {
        new ArrayList<>(links).forEach(l -> l.send("/" + what, 0, text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Passes on news that nobody here waits for; {@code taken} is called once it has arrived, or if nobody is there. */
    void pass(byte[] news, Runnable taken) {
        pass(news, null, taken);
    }

    private void pass(byte[] news, Link from, Runnable taken) {
        Link to = links.stream().filter(l -> l != from).findFirst().orElse(null);
        if (to == null) {
            taken.run();
        } else {
            to.awaited.put(++to.last, taken);
            to.send(NEWS, to.last, news);
        }
    }

    @Override
    public void ready(SelectionKey key) {
        try {
            SocketChannel next = channel.accept();
            if (next != null) {
                links.add(new Link(next, true));
                log.info("tied to the process that takes over");
                listener.tied(true);
            }
        } catch (IOException e) {
            log.warn("cannot tie: " + e.getMessage());
        }
    }

    /** One side of the tie. */
    private final class Link extends HttpConnection {
        private final boolean newer;
        private final Map<Long, Runnable> awaited = new HashMap<>();
        private long last;

        Link(SocketChannel to, boolean newer) throws IOException {
            super(Sibling.this.loop, nonBlocking(to), true, true);
            this.newer = newer;
        }

        private static SocketChannel nonBlocking(SocketChannel to) throws IOException {
            to.configureBlocking(false);
            return to;
        }

        void send(String what, long number, byte[] body) {
            if (!isClosed()) {
                out.append(Heads.request("POST", what, "sibling", body.length, "X-Number: " + number));
                out.append(body);
                flush();
            }
        }

        @Override
        protected void received(Message message) {
            byte[] body = message.body().toArray();
            message.body().release();
            long number = Long.parseLong(message.header("x-number"));
            switch (message.target()) {
                case NEWS -> {
                    Runnable taken = () -> send(TAKEN, number, new byte[0]);
                    if (listener.passed(body)) {
                        taken.run();
                    } else {
                        // A third process may be left of an upgrade before this one; never back where it came from.
                        pass(body, this, taken);
                    }
                }
                case TAKEN -> awaited.remove(number).run();
                default -> listener.told(message.target().substring(1),
                        new String(body, StandardCharsets.UTF_8));
            }
        }

        @Override
        protected void malformed(BadMessageException why) {
            log.warn("the other process cannot be understood: " + why.getMessage());
            close();
        }

        @Override
        protected void broken() { }

        @Override
        protected void flushed() { }

        /** The other process is gone, and with it whoever the news was for. */
        @Override
        public void close() {
            if (!isClosed()) {
                super.close();
                links.remove(this);
                new ArrayList<>(awaited.values()).forEach(Runnable::run);
                log.info("the other process has gone");
                listener.tied(false);
            }
        }
    }
}
