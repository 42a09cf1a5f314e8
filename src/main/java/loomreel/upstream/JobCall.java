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
 * The HTTP call that submits a job to a worker, until the worker has said whether it accepts it.
 * What becomes of an accepted job is said by job status updates, and ends the attempt.
 *
 * <p>Between the write of the request and its response it holds a connection of the subchannel's
 * pool.
 */
final class JobCall implements HttpExchange, Subchannel.ActiveCall {
  private final HttpSubchannel subchannel;
  private final CallAttempt attempt;

  /** The connection that carries the call; null before that, and once it is not needed any more. */
  private PooledConnection connection;

  private boolean isAccepted;

  JobCall(HttpSubchannel subchannel, CallAttempt attempt) {
    this.subchannel = subchannel;
    this.attempt = attempt;
  }

  /** Sets what carries the call, unless the attempt has ended already. */
  void setConnection(PooledConnection carrier) {
    connection = attempt.hasEnded() ? null : carrier;
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
   * Status 202 says that the job was accepted; a body that is cut, malformed or endless does not
   * change that.
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
    // A job status update may have ended it before the 202 came.
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
    int status = message.status();
    boolean isRejected =
        (status == HttpStatus.SERVICE_UNAVAILABLE || status == HttpStatus.GATEWAY_TIMEOUT)
            && JobHeader.IS_REJECTED.isSetIn(message);
    if (!isRejected && status != HttpStatus.INTERNAL_SERVER_ERROR) {
      subchannel.logUnexpectedStatus(status);
    }
    attempt.end(
        isRejected ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR,
        LoadReport.parse(JobHeader.LOAD_REPORT.valueIn(message)).orElse(null));
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
   * The response may be unread, so it is looked for first.
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
