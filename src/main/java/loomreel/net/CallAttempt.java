package loomreel.net;

import loomreel.decision.Model.Outcome;
import loomreel.http.Message;

/** One attempt of an RPC at one copy worker. It ends once, and then tells the module. */
final class CallAttempt implements Exchange {
    final Rpc rpc;
    final int number;
    final long sentAt;
    private final String worker;
    private final Subchannel subchannel;
    private final long deadline;
    private final Dispatcher dispatcher;
    /** Runs out after the copy worker has taken the job; before that the connection keeps the deadline. */
    private EventLoop.Timer timer;
    /** Carries the request until the copy worker has said whether it takes it. */
    private PeerConnection connection;
    private boolean written;
    private boolean accepted;
    private boolean ended;
    private boolean handedBack;

    CallAttempt(Dispatcher dispatcher, Rpc rpc, String worker, Subchannel subchannel, long sentAt, long deadline) {
        this.dispatcher = dispatcher;
        this.rpc = rpc;
        this.number = rpc.attempts.size();
        this.worker = worker;
        this.subchannel = subchannel;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    void start() {
        PeerConnection carrier = subchannel.post(rpc, this);
        connection = ended ? null : carrier;
    }

    /** An attempt that is not made, since it must not or cannot be. */
    void skip(Outcome outcome) {
        end(outcome, null);
    }

    boolean hasEnded() {
        return ended;
    }

    String worker() {
        return worker;
    }

    @Override
    public long deadline() {
        return deadline;
    }

    @Override
    public void written() {
        if (!written) {
            written = true;
            dispatcher.figures.called();
        }
    }

    @Override
    public void answered(Message message) {
        connection = null;
        if (ended) {
            return;
        }
        int status = message.status();
        if (status == 202) {
            accepted = true;
            timer = dispatcher.loop.at(deadline, () -> end(Outcome.TIMEOUT, null));
        } else {
            boolean turnedAway = (status == 503 || status == 504) && "1".equals(message.header("x-rejected"));
            if (!turnedAway && status != 500) {
                dispatcher.log.warn(subchannel + " answers a job with " + status);
            }
            end(turnedAway ? Outcome.FULL : Outcome.ERROR, LoadReport.of(message.header("x-load-report")));
        }
    }

    @Override
    public void broken(Outcome outcome) {
        connection = null;
        end(outcome, null);
    }

    /** The copy worker's call-back; it may come before the 202, and the connection then waits for that alone. */
    void news(String state, byte[] result, Object load) {
        switch (state) {
            case "started", "running" -> dispatcher.running(this);
            case "done" -> {
                rpc.serve(result);
                end(Outcome.OK, load);
            }
            case "failed" -> end(Outcome.ERROR, load);
            case "returned" -> {
                // Call-backs repeat: a second hand-back from one copy worker may be the first one come again, and
                // says nothing sure of the attempt that is out now.
                boolean again = rpc.attempts.stream().anyMatch(a -> a.handedBack && a.worker().equals(worker()));
                handedBack = true;
                end(again ? Outcome.RESET : Outcome.FULL, load);
            }
            default -> end(Outcome.RESET, load);
        }
    }

    /** Stops waiting: closes the connection before the 202, and asks for the job's end after it. */
    void cancel() {
        if (ended) {
            return;
        }
        if (connection != null) {
            connection.abandon();
            connection = null;
        } else if (accepted) {
            subchannel.delete(rpc);
        }
        end(Outcome.CANCELLED, null);
    }

    private void end(Outcome outcome, Object load) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel();
        }
        dispatcher.ended(this, outcome, LoadReport.of(load));
    }
}
