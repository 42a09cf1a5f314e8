package loomreel.net;

import java.util.ArrayList;
import java.util.List;
import loomreel.http.Bytes;

/** A request that a client has handed in, until it has its answer and its attempts have ended. */
final class Rpc {
    /** Whoever handed it in; one of these is called, once, unless it was withdrawn before. */
    interface Caller {
        void served(byte[] result);

        void refused(UnavailableStatus status);

        void failed();
    }

    final String id;
    /** Its position in the settings. */
    final int requestClass;
    /** Path and query, passed on unchanged. */
    final String target;
    final Bytes body;
    /** When the caller stops waiting. */
    final long deadline;
    final List<CallAttempt> attempts = new ArrayList<>(2);
    private final Caller caller;
    private final Figures figures;
    private boolean over;

    Rpc(String id, int requestClass, String target, Bytes body, long deadline, Caller caller, Figures figures) {
        this.id = id;
        this.requestClass = requestClass;
        this.figures = figures;
        this.target = target;
        this.body = body;
        this.deadline = deadline;
        this.caller = caller;
    }

    boolean isOver() {
        return over;
    }

    /** Whether nothing more can come of it. */
    boolean isDone() {
        return over && attempts.stream().allMatch(CallAttempt::hasEnded);
    }

    /** The attempt that this copy worker may speak of, or null. */
    CallAttempt openAt(String worker) {
        for (CallAttempt a : attempts) {
            if (!a.hasEnded() && a.worker().equals(worker)) {
                return a;
            }
        }
        return null;
    }

    void serve(byte[] result) {
        if (end()) {
            figures.settled(requestClass, Figures.Settled.SUCCESS);
            caller.served(result);
        }
    }

    void refuse(UnavailableStatus status) {
        if (end()) {
            figures.settled(requestClass, Figures.Settled.BUSY);
            caller.refused(status);
        }
    }

    void fail() {
        if (end()) {
            figures.settled(requestClass, Figures.Settled.FAILURE);
            caller.failed();
        }
    }

    /** Marks it over without an answer: the caller has gone. */
    boolean end() {
        boolean first = !over;
        over = true;
        body.release();
        return first;
    }
}
