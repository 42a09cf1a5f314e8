package loomreel.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import loomreel.decision.Model.Outcome;
import loomreel.http.Bytes;
import loomreel.http.Heads;
import loomreel.http.Message;

/** A copy worker that the list has named, and the requests it understands. */
final class Subchannel {
    /** How long a probe or a cancellation may take: twice the time in which a connection must come up. */
    private static final int PATIENCE = 2;

    final String id;
    private final Dispatcher dispatcher;
    private final Peer peer;
    private final long patience;
    private long startedAt;

    Subchannel(Dispatcher dispatcher, String id, Peer peer, long startedAt, long connectWithin) {
        this.dispatcher = dispatcher;
        this.id = id;
        this.peer = peer;
        this.startedAt = startedAt;
        this.patience = PATIENCE * connectWithin;
    }

    /** What the list says now. A process that started anew knows nothing of the old one's connections. */
    void update(InetSocketAddress address, long start) {
        if (!address.equals(peer.address()) || start != startedAt) {
            startedAt = start;
            peer.renew(address);
        }
    }

    /** It has left the list: what is out may end, and its connections go. */
    void retire() {
        peer.renew(peer.address());
    }

    void closeStale() {
        peer.closeStale();
    }

    /** Hands in the job of an RPC. */
    PeerConnection post(Rpc rpc, CallAttempt attempt) {
        long left = Math.max(1, (attempt.deadline() - attempt.sentAt) / 1000);
        Bytes request = request("POST", rpc.target, rpc.body.length(), "X-Call-Id: " + rpc.id, "X-Budget-Ms: " + left);
        request.append(rpc.body);
        return peer.call(request, attempt);
    }

    /** Asks for the end of a job that was taken. Nothing hangs on the answer: the attempt has ended here. */
    void delete(Rpc rpc) {
        peer.call(request("DELETE", "/jobs/" + rpc.id, 0), new Errand());
    }

    /** Asks for the load. */
    void probe() {
        long sentAt = dispatcher.loop.now();
        peer.call(request("GET", "/stats", 0), new Errand() {
            @Override
            public void answered(Message message) {
                String header = message.header("x-load-report");
                boolean well = message.status() == 200;
                String load = header != null ? header : new String(message.body().toArray(), StandardCharsets.UTF_8);
                dispatcher.probed(id, well ? Outcome.OK : Outcome.ERROR, sentAt, well ? LoadReport.of(load) : null);
            }

            @Override
            public void broken(Outcome outcome) {
                dispatcher.probed(id, outcome, sentAt, null);
            }
        });
    }

    private Bytes request(String method, String target, int length, String... headers) {
        Bytes request = new Bytes(dispatcher.loop.pool);
        request.append(Heads.request(method, target, peer.address().getHostString() + ":" + peer.address().getPort(),
                length, headers));
        return request;
    }

    @Override
    public String toString() {
        return "copy worker " + peer;
    }

    /** A short call whose answer matters to nobody, unless overridden. */
    private class Errand implements Exchange {
        private final long deadline = dispatcher.loop.now() + patience;

        @Override
        public long deadline() {
            return deadline;
        }

        @Override
        public void answered(Message message) { }

        @Override
        public void broken(Outcome outcome) { }
    }
}
