package loomreel.faktory.worker;

import loomreel.core.CallAttempt;
import loomreel.decision.AttemptOutcome;
import loomreel.faktory.worker.WorkerRegistry.Worker;

/** Handles what workers report on the attempts that they have fetched. */
public final class AttemptReports {
  /** Receives reports that do not change the end of an attempt. */
  public interface EvidenceListener {
    /**
     * Called for each such report.
     *
     * @param id the attempt's id as the worker gave it
     * @param report what the worker has reported, for the job's evidence
     */
    void reported(String id, String report);
  }

  private static final String NOT_A_WORKER = "nobody";

  private final FaktoryWorkerPool workers;
  private final EvidenceListener listener;

  /** Creates a handler for all workers of a pool. */
  public AttemptReports(FaktoryWorkerPool workers, EvidenceListener listener) {
    this.workers = workers;
    this.listener = listener;
  }

  /**
   * Handles an ACK. One that is late, repeated or of another worker becomes evidence, and changes
   * no end.
   *
   * @param worker the worker that sent it, or null for a client that is none
   */
  public void acknowledged(Worker worker, String id, byte[] result) {
    FaktorySubchannel subchannel = workers.subchannelOf(worker);
    CallAttempt attempt = subchannel == null ? null : subchannel.complete(id);
    if (attempt == null || attempt.hasEnded()) {
      listener.reported(id, "ACK from " + nameOf(worker));
    } else {
      attempt.completed(result, subchannel.load());
    }
  }

  /**
   * Handles a FAIL, like an ACK.
   *
   * @param worker the worker that sent it, or null for a client that is none
   * @param reason the worker's description of the failure
   * @return whether the worker had this job
   */
  public boolean failed(Worker worker, String id, String reason) {
    FaktorySubchannel subchannel = workers.subchannelOf(worker);
    CallAttempt attempt = subchannel == null ? null : subchannel.complete(id);
    if (attempt == null || attempt.hasEnded()) {
      listener.reported(id, "FAIL from " + nameOf(worker) + " (" + reason + ")");
      return attempt != null;
    }
    listener.reported(id, worker.wid() + " said FAIL: " + reason);
    attempt.end(AttemptOutcome.ERROR, subchannel.load());
    return true;
  }

  private static String nameOf(Worker worker) {
    return worker == null ? NOT_A_WORKER : worker.wid();
  }

  /**
   * Handles progress.
   *
   * @param worker the worker that sent it, or null for a client that is none
   */
  public void progressed(Worker worker, String id) {
    FaktorySubchannel subchannel = workers.subchannelOf(worker);
    CallAttempt attempt = subchannel == null ? null : subchannel.findInProgress(id);
    if (attempt != null) {
      attempt.progressed();
    }
  }
}
