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
 * A worker's callback with the state of a job.
 *
 * @param callId the id of the job's call
 * @param workerId the worker that sends it
 * @param result what a completed job has produced; empty if there is nothing
 * @param load the worker's load report, or null if it sends none
 */
public record JobStatusUpdate(
    String callId, String workerId, State state, String result, WorkerLoad load) {
  /** The state of a job at a worker. */
  public enum State {
    /** The job has started. */
    STARTED("started"),
    /** The job is still running. */
    RUNNING("running"),
    /** The job was completed. */
    DONE("done"),
    /** The job has failed. */
    FAILED("failed"),
    /** The job was returned without having started. */
    RETURNED("returned"),
    /** Any other state: the job may have run and will not be completed. */
    ABORTED(null);

    /** The state's name in a callback; null for those that have no name of their own. */
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

  /** Reads the body of a callback; empty if it is not JSON or lacks an id or the state. */
  public static Optional<JobStatusUpdate> parse(byte[] body) {
    Object tree;
    try {
      tree = JsonTree.read(body);
    } catch (IOException e) {
      return Optional.empty();
    }
    if (tree instanceof Map<?, ?> fields
        && fields.get(CALL_ID_KEY) instanceof String callId
        && fields.get(WORKER_ID_KEY) instanceof String workerId
        && fields.get(STATE_KEY) instanceof String state) {
      String result = fields.get(RESULT_KEY) instanceof String text ? text : "";
      WorkerLoad load = LoadReport.fromJson(fields.get(LOAD_KEY)).orElse(null);
      return Optional.of(new JobStatusUpdate(callId, workerId, State.of(state), result, load));
    }
    return Optional.empty();
  }

  /** Applies this to the attempt of its job at its worker, if that is in flight. */
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
