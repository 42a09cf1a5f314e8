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

    /**
     * How long discovery may hold a call. What it has to tell counts as told 2 s after that, whether or not it came;
     * the drain rule then leaves 3 s. A call that is silent must be given up and asked anew within those 5 s.
     */
    private static final long HOLD = 4_000_000;
    /** How long after the hold an answer is waited for: less than the 2 s after which news counts as told. */
    private static final long GRACE = 1_500_000;

    /** No version: the whole list is asked for. */
    private static final long NONE = -1;

    private final EventLoop loop;
    private final Peer discovery;
    private final Listener listener;
    private final BoundedLog log = new BoundedLog("loomreel.web.resolver");
    private long seq;
    private boolean calling;
    /** What carries the call that is out. */
    private PeerConnection connection;

    /**
     * A resolver that does not watch yet.
     *
     * @param seq the version of the list held so far
     */
    Resolver(EventLoop loop, Peer discovery, long seq, Listener listener) {
        this.loop = loop;
        this.discovery = discovery;
        this.seq = seq;
        this.listener = listener;
    }

    /** Starts a watch, if none is on. */
    void watch() {
        if (!calling) {
            calling = true;
            if (loop.trace != null) {
                loop.trace.line(loop.now(), "listcall", "from", seq);
            }
            boolean whole = seq == NONE;
            Bytes request = new Bytes(loop.pool);
            request.append(Heads.request("GET",
                    "/registry/instances" + (whole ? "" : "?from=" + seq + "&hold_ms=" + HOLD / 1000),
                    discovery.address().getHostString() + ":" + discovery.address().getPort(), 0));
            PeerConnection carrier = discovery.call(request, new Call(loop.now() + (whole ? 0 : HOLD) + GRACE));
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
        seq = NONE;
        watch();
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
            lost(outcome.toString());
        }

        private void end() {
            calling = false;
            connection = null;
        }

        private void lost(String why) {
            log.warn("the watch on " + discovery + " is lost: " + why);
            listener.lost();
        }
    }
}
