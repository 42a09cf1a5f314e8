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
 * The HTTP call that submits a job to a worker, until the worker accepts or rejects it. Job status
 * updates report the outcome of an accepted job, which ends the attempt.
 *
 * <p>Between the write of the request and its response it holds a connection of the subchannel's
 * pool.
 */
final class JobCall implements HttpExchange, Subchannel.ActiveCall {
  private final HttpSubchannel subchannel;
  private final CallAttempt attempt;

  /** The connection of the call; null before the call is sent and once the call has ended. */
  private PooledConnection connection;

  private boolean isAccepted;

  JobCall(HttpSubchannel subchannel, CallAttempt attempt) {
    this.subchannel = subchannel;
    this.attempt = attempt;
  }

  /** Sets the connection of the call, unless the attempt has ended already. */
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
   * Status 202 means that the job was accepted, even if the body is truncated, malformed or
   * endless.
   */
  @Override
  public boolean headReceived(int status) {
    if (status == HttpStatus.ACCEPTED && !isAccepted) {
      isAccepted = true;
      subchannel.reachability().reachable();
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
    subchannel.reachability().reachable();
    // A job status update may have ended it before the 202 arrived.
    if (attempt.hasEnded()) {
      return;
    }
    if (message.status() == HttpStatus.ACCEPTED) {
      isAccepted = true;
      attempt.accepted();
    } else {
      endUnaccepted(message);
    }
  }

  private void endUnaccepted(HttpMessage message) {
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
   * Closes the connection if the job was not accepted, and requests the end of the job if it was.
   * The response may be unread, so pending input is read first.
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
