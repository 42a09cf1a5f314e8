package loomreel.web;

import java.io.IOException;
import java.net.InetSocketAddress;
import loomreel.config.JsonTree;
import loomreel.config.ResolverResult;
import loomreel.decision.Model.Outcome;
import loomreel.http.Exchange;
import loomreel.http.Heads;
import loomreel.http.Message;
import loomreel.http.Peer;
import loomreel.http.PeerConnection;
import loomreel.io.BoundedLog;
import loomreel.io.Bytes;
import loomreel.io.EventLoop;

/** Watches discovery's list of copy workers, one call after the other, for as long as that goes well. */
final class Resolver {
    /** Who hears of it. */
    interface Listener {
        void resolved(ResolverResult result);

        void lost();
    }

    /** No version: the whole list is asked for. */
    private static final long NONE = -1;

    private final EventLoop loop;
    private final Peer discovery;
    private final Listener listener;
    private final ListClock clock;
    private final BoundedLog log = new BoundedLog("loomreel.web.resolver");
    private long seq;
    private boolean calling;
    /** When the last call began. */
    private long calledAt;
    /** Where lists are pushed: the next call, while one has to wait. */
    private EventLoop.Timer next;
    /** Whether the last call fell silent, too. */
    private boolean silent;
    /** What carries the call that is out. */
    private PeerConnection connection;

    /**
     * A resolver that does not watch yet.
     *
     * @param seq the version of the list held so far
     */
    Resolver(EventLoop loop, Peer discovery, long seq, ListClock clock, Listener listener) {
        this.loop = loop;
        this.discovery = discovery;
        this.clock = clock;
        // What an agent holds counts as told whatever was known before: it is taken whole, however versions are counted.
        this.seq = clock.pushed() ? NONE : seq;
        this.listener = listener;
    }

    /** Starts a watch, if none is on. */
    void watch() {
        if (!calling) {
            calling = true;
            calledAt = loop.now();
            if (loop.trace != null) {
                loop.trace.line(loop.now(), "listcall", "from", seq);
            }
            boolean whole = seq == NONE;
            Bytes request = new Bytes(loop.pool);
            request.append(Heads.request("GET",
                    "/registry/instances" + (whole ? "" : "?from=" + seq + "&hold_ms=" + clock.hold() / 1000),
                    discovery.address().getHostString() + ":" + discovery.address().getPort(), 0));
            PeerConnection carrier = discovery.call(request, new Call(clock.deadline(calledAt, !whole)));
            // It may have failed on the spot.
            connection = calling ? carrier : null;
        }
    }

    /**
     * Goes on at another address, at once: what is out at the old one is given up, for what the new one tells counts
     * as told 4 s later. Versions may be counted differently there, so the whole list is asked for first.
     */
    void moveTo(InetSocketAddress address) {
        if (connection != null) {
            connection.abandon();
            connection = null;
        }
        discovery.renew(address);
        calling = false;
        silent = false;
        seq = NONE;
        watch();
    }

    /** An agent answers at once and at no cost, so nobody decides when it is asked: always, but not in a tight loop. */
    private void again() {
        if (next == null) {
            next = loop.at(Math.max(loop.now(), calledAt + clock.pace()), () -> {
                next = null;
                watch();
            });
        }
    }

    private record Answer(ResolverResult result, String fault) { }

    private static Answer read(Message message) {
        if (message.status() != 200) {
            return new Answer(null, "status " + message.status());
        }
        try {
            return new Answer(ResolverResult.of(JsonTree.read(message.body().toArray())), null);
        } catch (IOException | IllegalArgumentException e) {
            return new Answer(null, e.getMessage().lines().findFirst().orElse("no list"));
        }
    }

    private final class Call implements Exchange {
        private final long deadline;

        Call(long deadline) {
            this.deadline = deadline;
        }

        @Override
        public long deadline() {
            return deadline;
        }

        @Override
        public void answered(Message message) {
            end();
            silent = false;
            Answer answer = read(message);
            if (answer.result() == null) {
                lost(answer.fault());
                return;
            }
            if (answer.result().seq() < seq) {
                // What it tells may be undone since, and a copy worker that drains would be sent to again. The whole
                // list is then taken as it is: discovery may have lost its count.
                String fault = "version " + answer.result().seq() + " after " + seq;
                seq = NONE;
                lost(fault);
                return;
            }
            seq = answer.result().seq();
            if (loop.trace != null) {
                loop.trace.line(loop.now(), "listed", "seq", seq);
            }
            // The next call first: the watch breaks if it comes late.
            watch();
            if (answer.result().whole() || !answer.result().entries().isEmpty()) {
                listener.resolved(answer.result());
            }
        }

        @Override
        public void broken(Outcome outcome) {
            end();
            boolean first = outcome == Outcome.TIMEOUT && !silent;
            silent = outcome == Outcome.TIMEOUT;
            if (first && !clock.pushed()) {
                // Silence says nothing of how busy discovery is: the watch is opened anew at once, elsewhere. Its
                // connection is closed, and there is no other.
                log.warn("the watch on " + discovery + " has fallen silent and is opened anew");
                watch();
            } else {
                lost(outcome.toString());
            }
        }

        private void end() {
            calling = false;
            connection = null;
        }

        private void lost(String why) {
            log.warn("the watch on " + discovery + " is lost: " + why);
            if (clock.pushed()) {
                again();
            } else {
                listener.lost();
            }
        }
    }
}
