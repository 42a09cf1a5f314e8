package loomreel.upstream;

import loomreel.core.CallAttempt;
import loomreel.core.Subchannel;
import loomreel.decision.AttemptOutcome;
import loomreel.http.HttpExchange;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;
import loomreel.http.JobHeader;
import loomreel.http.PooledConnection;

/**
 * The HTTP call that submits a job to a worker. The call ends when the worker has responded or the
 * call has failed. If the worker accepts the job, the attempt does not end with the call: a {@link
 * JobStatusUpdate} reports the outcome of the job and ends the attempt.
 *
 * <p>From its start to its end, the call uses a connection from the connection pool of the
 * subchannel.
 */
final class JobCall implements HttpExchange, Subchannel.ActiveCall {
  private final HttpSubchannel subchannel;
  private final CallAttempt attempt;

  /** The connection of the call; null before the call is sent and after the call has ended. */
  private PooledConnection connection;

  /** Whether the worker has accepted the job. */
  private boolean isAccepted;

  JobCall(HttpSubchannel subchannel, CallAttempt attempt) {
    this.subchannel = subchannel;
    this.attempt = attempt;
  }

  /**
   * Sets the connection of the call, or null if no connection is available. If the attempt has
   * already ended, the connection is ignored.
   */
  void setConnection(PooledConnection newConnection) {
    connection = attempt.hasEnded() ? null : newConnection;
  }

  @Override
  public long deadline() {
    return attempt.deadline();
  }

  @Override
  public long writeDeadline() {
    return attempt.writeDeadline();
  }

  @Override
  public void requestWritten() {
    attempt.requestWritten();
  }

  /**
   * Records that the worker has accepted the job if the status is 202. The status is sufficient,
   * even if the body is truncated, malformed or endless.
   */
  @Override
  public boolean headReceived(int status) {
    if (status == HttpStatus.ACCEPTED && !isAccepted) {
      isAccepted = true;
      subchannel.reachabilityListener().reachable();
      attempt.accepted();
    }
    return isAccepted;
  }

  @Override
  public void responseReceived(HttpMessage message) {
    connection = null;
    if (isAccepted) {
      return;
    }
    subchannel.reachabilityListener().reachable();
    // A job status update may have ended the attempt before the response with status 202 arrived.
    if (attempt.hasEnded()) {
      return;
    }
    if (message.status() == HttpStatus.ACCEPTED) {
      isAccepted = true;
      attempt.accepted();
    } else {
      endAttemptWithoutAcceptance(message);
    }
  }

  private void endAttemptWithoutAcceptance(HttpMessage message) {
    AttemptOutcome outcome = outcome(message);
    if (outcome != AttemptOutcome.REJECTED
        && message.status() != HttpStatus.INTERNAL_SERVER_ERROR) {
      subchannel.logUnexpectedStatus(message.status());
    }
    attempt.end(outcome, LoadReport.parse(JobHeader.LOAD_REPORT.valueIn(message)).orElse(null));
  }

  private static AttemptOutcome outcome(HttpMessage message) {
    return switch (message.status()) {
      case HttpStatus.BAD_REQUEST -> AttemptOutcome.INVALID;
      case HttpStatus.SERVICE_UNAVAILABLE, HttpStatus.GATEWAY_TIMEOUT ->
          JobHeader.IS_REJECTED.isSetIn(message) ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR;
      default -> AttemptOutcome.ERROR;
    };
  }

  @Override
  public void failed(AttemptOutcome outcome) {
    connection = null;
    if (!isAccepted) {
      subchannel.reportFailure(outcome);
      attempt.end(outcome, null);
    }
  }

  @Override
  public boolean abortIfUnsent() {
    if (connection == null || connection.hasSent()) {
      return false;
    }
    connection.abandon();
    connection = null;
    return true;
  }

  /**
   * Closes the connection of the call. If the worker has accepted the job, also requests the worker
   * to cancel the job. Input that has already arrived is read first, because it may contain the
   * response by which the worker accepts the job.
   */
  @Override
  public void cancel() {
    if (connection != null && connection.hasSent()) {
      connection.readPending();
    }
    if (connection != null) {
      connection.abandon();
      connection = null;
    }
    if (isAccepted) {
      subchannel.cancelJob(attempt.rpc().id());
    }
  }
}
