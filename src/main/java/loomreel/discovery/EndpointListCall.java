package loomreel.discovery;

import loomreel.decision.AttemptOutcome;
import loomreel.http.HttpExchange;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;

/**
 * A single call of an {@link EndpointWatcher} to discovery. Discovery may delay the response until
 * the endpoint list changes.
 */
final class EndpointListCall implements HttpExchange {
  private final EndpointWatcher watcher;
  private final long deadline;

  /**
   * Whether the head of a response with status 200 has arrived. Only a response with this status
   * contains an endpoint list.
   */
  private boolean isResponseStarted;

  /**
   * Creates a call.
   *
   * @param watcher the watcher to which the result is reported
   * @param deadline the time at which the call times out, in microseconds of the event loop's clock
   */
  EndpointListCall(EndpointWatcher watcher, long deadline) {
    this.watcher = watcher;
    this.deadline = deadline;
  }

  @Override
  public long deadline() {
    return deadline;
  }

  @Override
  public boolean headReceived(int status) {
    isResponseStarted = status == HttpStatus.OK;
    return false;
  }

  @Override
  public void responseReceived(HttpMessage message) {
    watcher.responseReceived(message);
  }

  @Override
  public void failed(AttemptOutcome outcome) {
    watcher.callFailed(outcome, isResponseStarted);
  }
}
