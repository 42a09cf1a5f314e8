package loomreel.discovery;

import loomreel.decision.AttemptOutcome;
import loomreel.http.HttpExchange;
import loomreel.http.HttpMessage;
import loomreel.http.HttpStatus;

/** One call of an {@link EndpointWatcher} to discovery, which waits for a change of the list. */
final class EndpointListCall implements HttpExchange {
  private final EndpointWatcher watcher;
  private final long deadline;

  /** Whether the head of a response with a list has arrived. */
  private boolean isResponseStarted;

  /**
   * Creates a call.
   *
   * @param deadline when it times out, in microseconds of the event loop's clock
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
