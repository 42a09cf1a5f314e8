package loomreel.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import loomreel.config.JsonTree;
import loomreel.core.CallAttempt;
import loomreel.core.Dispatcher;
import loomreel.decision.AttemptOutcome;
import loomreel.decision.WorkerLoad;

/**
 * A job status update: a callback by which a worker reports the state of a job.
 *
 * @param callId the id of the call that the job belongs to
 * @param workerId the id of the worker that sends the update
 * @param state the state of the job
 * @param result the result of a completed job; empty if there is none
 * @param load the load that the worker reported, or null if none was reported
 */
public record JobStatusUpdate(
    String callId, String workerId, State state, String result, WorkerLoad load) {
  /** The state of a job at a worker. */
  public enum State {
    /** The job has started. */
    STARTED("started"),
    /** The job is still running. */
    RUNNING("running"),
    /** The job has been completed. */
    DONE("done"),
    /** The job has failed. */
    FAILED("failed"),
    /** The worker has returned the job without starting it. */
    RETURNED("returned"),
    /** Any other state. The job may have run and will not be completed. */
    ABORTED(null);

    /**
     * The name of the state in a callback; null for {@link #ABORTED}, which stands for all names
     * that are not listed here.
     */
    private final String externalName;

    State(String externalName) {
      this.externalName = externalName;
    }

    private static State of(String name) {
      for (State state : values()) {
        if (name.equals(state.externalName)) {
          return state;
        }
      }
      return ABORTED;
    }
  }

  private static final String CALL_ID_KEY = "id";
  private static final String WORKER_ID_KEY = "from";
  private static final String STATE_KEY = "state";
  private static final String RESULT_KEY = "result";
  private static final String LOAD_KEY = "load";

  /**
   * Parses the body of a callback.
   *
   * @return the update, or empty if the body is not JSON or lacks the id of the call, the id of the
   *     worker or the state
   */
  public static Optional<JobStatusUpdate> parse(byte[] body) {
    Object json;
    try {
      json = JsonTree.read(body);
    } catch (IOException e) {
      return Optional.empty();
    }
    if (json instanceof Map<?, ?> fields
        && fields.get(CALL_ID_KEY) instanceof String callId
        && fields.get(WORKER_ID_KEY) instanceof String workerId
        && fields.get(STATE_KEY) instanceof String state) {
      String result = fields.get(RESULT_KEY) instanceof String text ? text : "";
      WorkerLoad load = LoadReport.fromJson(fields.get(LOAD_KEY)).orElse(null);
      return Optional.of(new JobStatusUpdate(callId, workerId, State.of(state), result, load));
    }
    return Optional.empty();
  }

  /**
   * Applies this update to the attempt of the call at the worker that sent the update, if this
   * attempt has not ended. Does nothing if the call has no such attempt.
   */
  public void applyTo(Dispatcher dispatcher) {
    CallAttempt attempt = dispatcher.openAttemptAt(callId, workerId);
    if (attempt == null) {
      return;
    }
    switch (state) {
      case STARTED, RUNNING -> attempt.progressed();
      case DONE -> attempt.completed(result.getBytes(StandardCharsets.UTF_8), load);
      case FAILED -> attempt.end(AttemptOutcome.ERROR, load);
      case RETURNED -> attempt.returnedUnstarted(load);
      case ABORTED -> attempt.end(AttemptOutcome.RESET, load);
    }
  }
}
