package loomreel.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import loomreel.decision.Action;

/** Writes the actions of a policy as JSON objects of the simulator's protocol. */
final class ActionWriter {
  private final JsonGenerator json;

  /**
   * Creates a writer for the actions of one reply.
   *
   * @param json the generator that receives the objects; the writer does not close the generator,
   *     so the caller has to close it
   */
  ActionWriter(JsonGenerator json) {
    this.json = json;
  }

  /**
   * Writes one action as one JSON object. A timeout or retry delay of 0 is not written. The write
   * deadline of an attempt and the reason for a rejection or failure are not written either,
   * because the protocol has no fields for them.
   *
   * @throws IOException if the generator's stream fails
   * @throws IllegalStateException if the type of the action is unknown
   */
  void write(Action action) throws IOException {
    if (action instanceof Action.StartAttempt start) {
      writeStartAttempt(start);
    } else if (action instanceof Action.CancelAttempt cancel) {
      writeCancelAttempt(cancel);
    } else if (action instanceof Action.Reject reject) {
      writeReject(reject);
    } else if (action instanceof Action.Fail fail) {
      writeSingleFieldObject(WireNames.FAIL_REQUEST, WireNames.REQUEST_ID, fail.requestId());
    } else if (action instanceof Action.CheckHealth check) {
      writeSingleFieldObject(WireNames.CHECK_HEALTH, WireNames.WORKER_ID, check.workerId());
    } else if (action instanceof Action.SetTimer timer) {
      writeSetTimer(timer);
    } else if (action instanceof Action.PollEndpoints) {
      writePollEndpoints();
    } else if (action instanceof Action.Log log) {
      writeSingleFieldObject(WireNames.LOG, WireNames.TEXT, log.text());
    } else {
      throw new IllegalStateException("no JSON object is defined for the action " + action);
    }
  }

  /**
   * Writes the object that reports an exception of the policy. The reply contains this object
   * instead of the actions for the event on which the policy threw the exception.
   *
   * @param failure the exception, whose {@code toString()} is written
   * @throws IOException if the generator's stream fails
   */
  void writeFailure(RuntimeException failure) throws IOException {
    writeSingleFieldObject(WireNames.POLICY_FAILED, WireNames.TEXT, failure.toString());
  }

  private void writeStartAttempt(Action.StartAttempt start) throws IOException {
    startObject(WireNames.START_ATTEMPT);
    json.writeStringField(WireNames.REQUEST_ID, start.requestId());
    json.writeStringField(WireNames.WORKER_ID, start.workerId());
    if (start.timeout() != 0) {
      json.writeNumberField(WireNames.TIMEOUT_SECONDS, toSeconds(start.timeout()));
    }
    json.writeEndObject();
  }

  private void writeCancelAttempt(Action.CancelAttempt cancel) throws IOException {
    startObject(WireNames.CANCEL_ATTEMPT);
    json.writeStringField(WireNames.REQUEST_ID, cancel.requestId());
    json.writeNumberField(WireNames.ATTEMPT_NUMBER, cancel.attemptNumber());
    json.writeEndObject();
  }

  private void writeReject(Action.Reject reject) throws IOException {
    startObject(WireNames.REJECT_REQUEST);
    json.writeStringField(WireNames.REQUEST_ID, reject.requestId());
    if (reject.retryAfter() > 0) {
      json.writeNumberField(WireNames.RETRY_AFTER_SECONDS, toSeconds(reject.retryAfter()));
    }
    json.writeEndObject();
  }

  private void writeSetTimer(Action.SetTimer timer) throws IOException {
    startObject(WireNames.SET_TIMER);
    json.writeNumberField(WireNames.TIMER_TIME_SECONDS, toSeconds(timer.time()));
    json.writeNumberField(WireNames.TIMER_TOKEN, timer.token());
    json.writeEndObject();
  }

  private void writePollEndpoints() throws IOException {
    startObject(WireNames.POLL_ENDPOINTS);
    json.writeBooleanField(WireNames.POLL_REQUESTED, true);
    json.writeEndObject();
  }

  private void writeSingleFieldObject(String kind, String field, String text) throws IOException {
    startObject(kind);
    json.writeStringField(field, text);
    json.writeEndObject();
  }

  private void startObject(String kind) throws IOException {
    json.writeStartObject();
    json.writeStringField(WireNames.KIND, kind);
  }

  private static double toSeconds(long micros) {
    return micros / WireObject.MICROS_PER_SECOND;
  }
}
